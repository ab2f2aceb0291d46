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

/** Another's gRPC on the other side, over loopback sockets: the framing is not only our own idea of it. */
class GrpcPeerTest {
    private static final long GENEROUS_S = 20;

    private static byte[] header(long revision) {
        return Protobuf.message(out -> {
            out.writeUInt64(1, -5); // ids of clusters use all 64 bits
            out.writeInt64(3, revision);
        });
    }

    private static byte[] kv(String key, String value, long revision) {
        return Protobuf.message(out -> {
            out.writeString(1, key);
            out.writeInt64(2, revision);
            out.writeInt64(3, revision);
            out.writeByteArray(5, value.getBytes(StandardCharsets.UTF_8));
            out.writeInt64(99, 1); // a field that comes with a later version
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
     * Observers are not made for two threads: the library's answers to the client, and the test's. And the message is
     * made in its turn: progress up to a revision must not be told before that revision's changes.
     */
    private static void send(StreamObserver<byte[]> to, Supplier<byte[]> message) {
        synchronized (to) {
            to.onNext(message.get());
        }
    }

    @Test
    void aReadOfManyFramesAndAWatchAreUnderstood() throws Exception {
        AtomicLong revision = new AtomicLong(5);
        BlockingQueue<StreamObserver<byte[]>> begun = new LinkedBlockingQueue<>();
        BlockingQueue<byte[]> asked = new LinkedBlockingQueue<>();
        String large = "x".repeat(200_000); // many HTTP/2 frames, and more than a first window
        var range = ServerCalls.asyncUnaryCall((byte[] request, StreamObserver<byte[]> answer) -> {
            asked.add(request);
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
                    asked.add(request);
                    boolean watches = !Arrays.equals(EtcdMessages.progress(), request);
                    send(
                            answer,
                            () -> Protobuf.message(out -> {
                                out.writeByteArray(1, header(revision.get()));
                                out.writeBool(3, watches);
                            }));
                    if (watches) {
                        begun.add(answer);
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
        BlockingQueue<KeyChange> told = new LinkedBlockingQueue<>();
        RegistrySettings settings = RegistrySettings.of(
                RegistrySettings.Kind.ETCD,
                List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getPort())),
                "oaxaca/",
                new FollowerLimits(50_000, 1_000_000, 0, 60_000_000, 120_000_000, 300_000_000, 0, 1_000));
        RegistryClient client = new RegistryClient(sockets, settings, 1, (full, changes, all) -> told.addAll(changes));
        try {
            sockets.loop().execute(client::start);
            for (int i = 0; i < 10; i++) {
                assertEquals(new KeyChange("oaxaca/nodos/" + i, large, 4, 4), told.poll(GENEROUS_S, TimeUnit.SECONDS));
            }
            StreamObserver<byte[]> first = begun.poll(GENEROUS_S, TimeUnit.SECONDS);
            send(
                    first,
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
            assertEquals(new KeyChange("oaxaca/nodos/0", "new", 6, 6), told.poll(GENEROUS_S, TimeUnit.SECONDS));
            assertEquals(KeyChange.deleted("oaxaca/nodos/1", 6), told.poll(GENEROUS_S, TimeUnit.SECONDS));
            // The stream ends with a status: the next watch begins behind what was told.
            first.onError(
                    io.grpc.Status.UNAVAILABLE.withDescription("leader changed").asRuntimeException());
            StreamObserver<byte[]> second = begun.poll(GENEROUS_S, TimeUnit.SECONDS);
            send(
                    second,
                    () -> Protobuf.message(out -> {
                        revision.set(7);
                        out.writeByteArray(1, header(7));
                        out.writeByteArray(
                                11,
                                Protobuf.message(event -> event.writeByteArray(2, kv("oaxaca/nodos/1", "back", 7))));
                    }));
            assertEquals(new KeyChange("oaxaca/nodos/1", "back", 7, 7), told.poll(GENEROUS_S, TimeUnit.SECONDS));
            byte[] resumed = EtcdMessages.watch(EtcdMessages.bytes("oaxaca/"), EtcdMessages.behind("oaxaca/"), 7);
            assertTrue(asked.stream().anyMatch(each -> Arrays.equals(resumed, each)), "resumed from revision 7");
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
