package gatefront.registry;

import gatefront.registry.RegistrySettings.Reads;
import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads etcd, version 3: full reads in pages that are all of one revision, then a watch. It uses one connection; only
 * the results of the newest call are processed.
 */
final class EtcdConnector implements RegistryConnector {
    private static final int MAX_MESSAGE_BYTES = 16 << 20;
    private static final int PAGE_KEYS = 1_000;

    private final Transport transport;
    private final RegistrySettings settings;
    private final RegistryMembers members;
    private final Follower follower;
    private GrpcConnection connection;
    private GrpcConnection.Call currentCall;
    /** The authentication token of the user; null while there is none, and discarded when it is rejected. */
    private String token;

    EtcdConnector(Transport transport, RegistrySettings settings, RegistryMembers members, Follower follower) {
        this.transport = transport;
        this.settings = settings;
        this.members = members;
        this.follower = follower;
    }

    @Override
    public void list(long call, boolean quorum) {
        boolean linearizable = quorum || settings.reads() != Reads.STALE;
        authenticateThen(
                call, () -> readPage(call, linearizable, EtcdMessages.bytes(settings.prefix()), 0, new ArrayList<>()));
    }

    @Override
    public void watch(long call, long revision) {
        authenticateThen(call, () -> startWatch(call, revision));
    }

    @Override
    public void requestProgress(long call) {
        if (currentCall != null) {
            currentCall.send(EtcdMessages.progressRequest());
        }
    }

    @Override
    public void endCall(boolean failed) {
        if (currentCall != null) {
            currentCall.cancel();
            currentCall = null;
        }
        if (failed) {
            if (connection != null) {
                connection.close();
                connection = null;
            }
            members.moveToNext();
        }
    }

    private long nowMicros() {
        return transport.nanos() / 1000;
    }

    private void callFailed(long call, int status, String reason) {
        if (status == GrpcConnection.UNAUTHENTICATED) {
            token = null;
        }
        follower.callFailed(
                nowMicros(),
                call,
                members.address() + ": " + reason + (status > 0 ? " (status " + status + ")" : ""),
                status == GrpcConnection.RESOURCE_EXHAUSTED);
    }

    /** Starts a call with one response message or more; a message that cannot be decoded fails it. */
    private void startCall(
            long call,
            String path,
            byte[] first,
            boolean singleMessage,
            MessageReader reader,
            EndListener endListener) {
        if (connection == null || !connection.isUsable()) {
            connection = new GrpcConnection(transport, members.current(), MAX_MESSAGE_BYTES);
        }
        currentCall = connection.call(
                path,
                path.equals(EtcdMessages.AUTHENTICATE) ? null : token,
                first,
                singleMessage,
                new GrpcConnection.Listener() {
                    @Override
                    public void message(byte[] message) {
                        try {
                            reader.read(message);
                        } catch (IOException | IllegalArgumentException e) {
                            callFailed(
                                    call,
                                    0,
                                    "unusable answer: "
                                            + String.valueOf(e.getMessage())
                                                    .lines()
                                                    .findFirst()
                                                    .orElse(""));
                        }
                    }

                    @Override
                    public void ended(int status, String reason) {
                        endListener.ended(status, reason);
                    }
                });
    }

    private interface MessageReader {
        void read(byte[] message) throws IOException;
    }

    private interface EndListener {
        void ended(int status, String reason);
    }

    /** Runs an action after authentication, if a user is configured. */
    private void authenticateThen(long call, Runnable action) {
        if (settings.user() == null || token != null) {
            action.run();
            return;
        }
        List<String> tokens = new ArrayList<>();
        startCall(
                call,
                EtcdMessages.AUTHENTICATE,
                EtcdMessages.authenticateRequest(settings.user(), settings.password()),
                true,
                message -> tokens.add(EtcdMessages.decodeToken(message)),
                (status, reason) -> {
                    if (status == GrpcConnection.OK && !tokens.isEmpty()) {
                        token = tokens.get(0);
                        action.run();
                    } else {
                        callFailed(call, status, "user " + settings.user() + " is not let in: " + reason);
                    }
                });
    }

    // ---- Reads ----

    /**
     * Reads a page. The pages after the first are read at its revision, since otherwise changes made meanwhile would
     * be read in part. If that revision is compacted meanwhile, or the token expires, the read fails and is repeated
     * as after any failure.
     */
    private void readPage(long call, boolean linearizable, byte[] from, long revision, List<KeyEntry> entries) {
        List<EtcdMessages.RangeResponse> responses = new ArrayList<>();
        startCall(
                call,
                EtcdMessages.RANGE,
                EtcdMessages.rangeRequest(
                        from, EtcdMessages.prefixEnd(settings.prefix()), PAGE_KEYS, revision, !linearizable),
                true,
                message -> responses.add(EtcdMessages.decodeRangeResponse(message)),
                (status, reason) -> {
                    if (status != GrpcConnection.OK || responses.size() != 1) {
                        callFailed(call, status, reason.isEmpty() ? "the read has no answer" : reason);
                    } else {
                        pageReceived(call, linearizable, revision, entries, responses.get(0));
                    }
                });
    }

    private void pageReceived(
            long call, boolean linearizable, long revision, List<KeyEntry> entries, EtcdMessages.RangeResponse page) {
        long readRevision = revision > 0 ? revision : page.header().revision();
        if (page.more() && page.entries().isEmpty()
                || entries.size() > settings.limits().maxKeys()) {
            callFailed(call, 0, "the read does not end");
            return;
        }
        entries.addAll(page.entries());
        if (page.more()) {
            follower.dataReceived(nowMicros(), call);
            byte[] last = EtcdMessages.bytes(entries.get(entries.size() - 1).key());
            readPage(call, linearizable, Arrays.copyOf(last, last.length + 1), readRevision, entries);
        } else {
            currentCall = null;
            follower.listReceived(nowMicros(), call, page.header().cluster(), readRevision, linearizable, entries);
        }
    }

    // ---- Watches ----

    private void startWatch(long call, long revision) {
        Consumer<EtcdMessages.WatchResponse> handler = response -> watchResponseReceived(call, response);
        startCall(
                call,
                EtcdMessages.WATCH,
                EtcdMessages.watchRequest(
                        EtcdMessages.bytes(settings.prefix()), EtcdMessages.prefixEnd(settings.prefix()), revision + 1),
                false,
                message -> handler.accept(EtcdMessages.decodeWatchResponse(message)),
                (status, reason) -> callFailed(call, status, reason.isEmpty() ? "the watch has ended" : reason));
    }

    private void watchResponseReceived(long call, EtcdMessages.WatchResponse response) {
        long cluster = response.header().cluster();
        long revision = response.header().revision();
        if (response.compactRevision() > 0) {
            follower.revisionCompacted(nowMicros(), call, response.compactRevision());
        } else if (response.canceled()) {
            // A token that is no longer valid shows in the reason here, not in a status.
            boolean tokenRejected = response.reason().contains("auth token");
            callFailed(
                    call,
                    tokenRejected ? GrpcConnection.UNAUTHENTICATED : 0,
                    "the watch was cancelled: " + response.reason());
        } else if (response.created()) {
            follower.watchCreated(nowMicros(), call, cluster, revision);
        } else if (response.changes().isEmpty() && !response.fragment()) {
            follower.progressReceived(nowMicros(), call, cluster, revision);
        } else {
            follower.changesReceived(nowMicros(), call, response.changes(), response.fragment());
        }
    }
}
