package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.registry.follower.FollowerLimits;
import gatefront.registry.follower.KeyChange;
import gatefront.transport.SocketTransport;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Uses the gRPC library as the peer over loopback sockets, so that the framing is checked against an independent
 * implementation.
 */
class GrpcPeerTest {
    private static final long TIMEOUT_S = 20;

    private static byte[] header(long revision) {
        return Protobuf.message(out -> {
            // Cluster ids use all 64 bits.
            out.writeUInt64(1, -5);
            out.writeInt64(3, revision);
        });
    }

    private static byte[] kv(String key, String value, long revision) {
        return Protobuf.message(out -> {
            out.writeString(1, key);
            out.writeInt64(2, revision);
            out.writeInt64(3, revision);
            out.writeByteArray(5, value.getBytes(StandardCharsets.UTF_8));
            // A field of a later version.
            out.writeInt64(99, 1);
        });
    }

    private static MethodDescriptor<byte[], byte[]> method(String path, MethodDescriptor.MethodType type) {
        MethodDescriptor.Marshaller<byte[]> bytes = new MethodDescriptor.Marshaller<>() {
            @Override
            public InputStream stream(byte[] value) {
                return new ByteArrayInputStream(value);
            }

            @Override
            public byte[] parse(InputStream stream) {
                try {
                    return stream.readAllBytes();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
        return MethodDescriptor.<byte[], byte[]>newBuilder()
                .setType(type)
                .setFullMethodName(path.substring(1))
                .setRequestMarshaller(bytes)
                .setResponseMarshaller(bytes)
                .build();
    }

    /**
     * Sends a message under a lock, since observers are not thread-safe and are used by both the library and the test.
     * The message is created under the lock as well: progress up to a revision must not be sent before the changes of
     * that revision.
     */
    private static void send(StreamObserver<byte[]> to, Supplier<byte[]> message) {
        synchronized (to) {
            to.onNext(message.get());
        }
    }

    @Test
    void readOfManyFramesAndWatchAreDecoded() throws Exception {
        AtomicLong revision = new AtomicLong(5);
        BlockingQueue<StreamObserver<byte[]>> openWatches = new LinkedBlockingQueue<>();
        BlockingQueue<byte[]> requests = new LinkedBlockingQueue<>();
        // Needs many HTTP/2 frames and exceeds the initial window.
        String large = "x".repeat(200_000);
        var range = ServerCalls.asyncUnaryCall((byte[] request, StreamObserver<byte[]> answer) -> {
            requests.add(request);
            answer.onNext(Protobuf.message(out -> {
                out.writeByteArray(1, header(5));
                for (int i = 0; i < 10; i++) {
                    out.writeByteArray(2, kv("oaxaca/nodos/" + i, large, 4));
                }
                out.writeInt64(4, 10);
            }));
            answer.onCompleted();
        });
        var watch = ServerCalls.asyncBidiStreamingCall((StreamObserver<byte[]> answer) -> {
            return new StreamObserver<byte[]>() {
                @Override
                public void onNext(byte[] request) {
                    requests.add(request);
                    boolean watches = !Arrays.equals(EtcdMessages.progressRequest(), request);
                    send(
                            answer,
                            () -> Protobuf.message(out -> {
                                out.writeByteArray(1, header(revision.get()));
                                out.writeBool(3, watches);
                            }));
                    if (watches) {
                        openWatches.add(answer);
                    }
                }

                @Override
                public void onError(Throwable why) {}

                @Override
                public void onCompleted() {}
            };
        });
        Server server = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .addService(ServerServiceDefinition.builder("etcdserverpb.KV")
                        .addMethod(method(EtcdMessages.RANGE, MethodDescriptor.MethodType.UNARY), range)
                        .build())
                .addService(ServerServiceDefinition.builder("etcdserverpb.Watch")
                        .addMethod(method(EtcdMessages.WATCH, MethodDescriptor.MethodType.BIDI_STREAMING), watch)
                        .build())
                .build()
                .start();
        SocketTransport sockets = new SocketTransport();
        BlockingQueue<KeyChange> reported = new LinkedBlockingQueue<>();
        RegistrySettings settings = RegistrySettings.of(
                RegistrySettings.Kind.ETCD,
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getPort())),
                "oaxaca/",
                new FollowerLimits(50_000, 1_000_000, 0, 60_000_000, 120_000_000, 300_000_000, 0, 1_000));
        RegistryClient client =
                new RegistryClient(sockets, settings, 1, (full, changes, all) -> reported.addAll(changes));
        try {
            sockets.loop().execute(client::start);
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        new KeyChange("oaxaca/nodos/" + i, large, 4, 4), reported.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
            StreamObserver<byte[]> firstWatch = openWatches.poll(TIMEOUT_S, TimeUnit.SECONDS);
            send(
                    firstWatch,
                    () -> Protobuf.message(out -> {
                        revision.set(6);
                        out.writeByteArray(1, header(6));
                        out.writeByteArray(
                                11, Protobuf.message(event -> event.writeByteArray(2, kv("oaxaca/nodos/0", "new", 6))));
                        out.writeByteArray(11, Protobuf.message(event -> {
                            event.writeEnum(1, 1);
                            event.writeByteArray(2, kv("oaxaca/nodos/1", "", 6));
                        }));
                    }));
            assertEquals(new KeyChange("oaxaca/nodos/0", "new", 6, 6), reported.poll(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(KeyChange.deleted("oaxaca/nodos/1", 6), reported.poll(TIMEOUT_S, TimeUnit.SECONDS));
            // The stream ends with a status; the next watch starts after the reported changes.
            firstWatch.onError(
                    io.grpc.Status.UNAVAILABLE.withDescription("leader changed").asRuntimeException());
            StreamObserver<byte[]> secondWatch = openWatches.poll(TIMEOUT_S, TimeUnit.SECONDS);
            send(
                    secondWatch,
                    () -> Protobuf.message(out -> {
                        revision.set(7);
                        out.writeByteArray(1, header(7));
                        out.writeByteArray(
                                11,
                                Protobuf.message(event -> event.writeByteArray(2, kv("oaxaca/nodos/1", "back", 7))));
                    }));
            assertEquals(new KeyChange("oaxaca/nodos/1", "back", 7, 7), reported.poll(TIMEOUT_S, TimeUnit.SECONDS));
            byte[] resumeRequest =
                    EtcdMessages.watchRequest(EtcdMessages.bytes("oaxaca/"), EtcdMessages.prefixEnd("oaxaca/"), 7);
            assertTrue(
                    requests.stream().anyMatch(request -> Arrays.equals(resumeRequest, request)),
                    "resumed from revision 7");
        } finally {
            CountDownLatch ended = new CountDownLatch(1);
            sockets.loop().execute(() -> {
                client.close();
                sockets.close(ended::countDown);
            });
            ended.await();
            server.shutdownNow().awaitTermination();
        }
    }
}
