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
 * etcd, version 3: full reads in pages that are all of one revision, then a watch. One connection; of its calls only
 * the newest is heard.
 */
final class EtcdConnector implements RegistryConnector {
    private static final int MESSAGE_BYTES_MOST = 16 << 20;
    private static final int PAGE = 1_000;

    private final Transport transport;
    private final RegistrySettings settings;
    private final RegistryMembers members;
    private final Follower follower;
    private GrpcConnection connection;
    private GrpcConnection.Call out;
    /** Given by the registry to the user; null while there is none, and dropped when it is no longer good. */
    private String token;

    EtcdConnector(Transport transport, RegistrySettings settings, RegistryMembers members, Follower follower) {
        this.transport = transport;
        this.settings = settings;
        this.members = members;
        this.follower = follower;
    }

    @Override
    public void list(long call, boolean quorum) {
        boolean sure = quorum || settings.reads() != Reads.STALE;
        known(call, () -> page(call, sure, EtcdMessages.bytes(settings.prefix()), 0, new ArrayList<>()));
    }

    @Override
    public void watch(long call, long revision) {
        known(call, () -> begin(call, revision));
    }

    @Override
    public void ask(long call) {
        if (out != null) {
            out.send(EtcdMessages.progress());
        }
    }

    @Override
    public void drop(boolean failed) {
        if (out != null) {
            out.cancel();
            out = null;
        }
        if (failed) {
            if (connection != null) {
                connection.close();
                connection = null;
            }
            members.next();
        }
    }

    private long now() {
        return transport.nanos() / 1000;
    }

    private void failed(long call, int status, String why) {
        if (status == GrpcConnection.UNAUTHENTICATED) {
            token = null;
        }
        follower.failed(
                now(),
                call,
                members.name() + ": " + why + (status > 0 ? " (status " + status + ")" : ""),
                status == GrpcConnection.RESOURCE_EXHAUSTED);
    }

    /** A call with one answer or more; what cannot be read ends it. */
    private void call(long call, String path, byte[] first, boolean only, Reading reading, Ending ending) {
        if (connection == null || !connection.usable()) {
            connection = new GrpcConnection(transport, members.current(), MESSAGE_BYTES_MOST);
        }
        out = connection.call(
                path,
                path.equals(EtcdMessages.AUTHENTICATE) ? null : token,
                first,
                only,
                new GrpcConnection.Listener() {
                    @Override
                    public void message(byte[] message) {
                        try {
                            reading.read(message);
                        } catch (IOException | IllegalArgumentException e) {
                            failed(
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
                    public void ended(int status, String why) {
                        ending.ended(status, why);
                    }
                });
    }

    private interface Reading {
        void read(byte[] message) throws IOException;
    }

    private interface Ending {
        void ended(int status, String why);
    }

    /** Does something as the user, where there is one. */
    private void known(long call, Runnable then) {
        if (settings.user() == null || token != null) {
            then.run();
            return;
        }
        List<String> got = new ArrayList<>();
        call(
                call,
                EtcdMessages.AUTHENTICATE,
                EtcdMessages.authenticate(settings.user(), settings.password()),
                true,
                message -> got.add(EtcdMessages.token(message)),
                (status, why) -> {
                    if (status == GrpcConnection.OK && !got.isEmpty()) {
                        token = got.get(0);
                        then.run();
                    } else {
                        failed(call, status, "user " + settings.user() + " is not let in: " + why);
                    }
                });
    }

    // ---- Reads ----

    /**
     * The pages after the first are of its revision: else keys that change meanwhile would be had in part. Where that
     * is compacted meanwhile, or the token expires, the read has failed, and the next one follows as after any failure.
     */
    private void page(long call, boolean sure, byte[] from, long revision, List<KeyEntry> all) {
        List<EtcdMessages.Range> got = new ArrayList<>();
        call(
                call,
                EtcdMessages.RANGE,
                EtcdMessages.range(from, EtcdMessages.behind(settings.prefix()), PAGE, revision, !sure),
                true,
                message -> got.add(EtcdMessages.range(message)),
                (status, why) -> {
                    if (status != GrpcConnection.OK || got.size() != 1) {
                        failed(call, status, why.isEmpty() ? "the read has no answer" : why);
                    } else {
                        paged(call, sure, revision, all, got.get(0));
                    }
                });
    }

    private void paged(long call, boolean sure, long revision, List<KeyEntry> all, EtcdMessages.Range page) {
        long at = revision > 0 ? revision : page.header().revision();
        if (page.more() && page.entries().isEmpty()
                || all.size() > settings.bounds().keys()) {
            failed(call, 0, "the read does not end");
            return;
        }
        all.addAll(page.entries());
        if (page.more()) {
            follower.heard(now(), call);
            byte[] last = EtcdMessages.bytes(all.get(all.size() - 1).key());
            page(call, sure, Arrays.copyOf(last, last.length + 1), at, all);
        } else {
            out = null;
            follower.listed(now(), call, page.header().cluster(), at, sure, all);
        }
    }

    // ---- Watches ----

    private void begin(long call, long revision) {
        Consumer<EtcdMessages.Watched> news = each -> watched(call, each);
        call(
                call,
                EtcdMessages.WATCH,
                EtcdMessages.watch(
                        EtcdMessages.bytes(settings.prefix()), EtcdMessages.behind(settings.prefix()), revision + 1),
                false,
                message -> news.accept(EtcdMessages.watched(message)),
                (status, why) -> failed(call, status, why.isEmpty() ? "the watch has ended" : why));
    }

    private void watched(long call, EtcdMessages.Watched news) {
        long cluster = news.header().cluster();
        long revision = news.header().revision();
        if (news.compacted() > 0) {
            follower.compacted(now(), call, news.compacted());
        } else if (news.canceled()) {
            // A token that is no longer good shows here, and not by a status.
            boolean token = news.reason().contains("auth token");
            failed(call, token ? GrpcConnection.UNAUTHENTICATED : 0, "the watch was cancelled: " + news.reason());
        } else if (news.created()) {
            follower.watching(now(), call, cluster, revision);
        } else if (news.changes().isEmpty() && !news.fragment()) {
            follower.progress(now(), call, cluster, revision);
        } else {
            follower.changes(now(), call, news.changes(), news.fragment());
        }
    }
}
