package gatefront.drill;

import gatefront.policy.AdaptiveBalancer;
import gatefront.policy.Balancer;
import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Phase;
import gatefront.policy.SettingsParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's wire for many instances. It decides nothing. */
public final class Drill {
    private static final double[] NO_LOAD = new double[0];
    private static final int LISTS = 16;
    private static final int SERVER_BYTES = 22;

    private final FrameReader in;
    private final OutputStream outStream;
    private final FrameWriter out = new FrameWriter();
    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Balancer.Server>> lists = new ArrayList<>();

    /** Reads frames from one stream and writes replies to the other. */
    public Drill(InputStream in, OutputStream out) {
        this.in = new FrameReader(in);
        this.outStream = out;
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    /** Answers frames until the input ends. */
    public void run() throws IOException {
        while (in.nextFrame()) {
            while (in.nextRecord()) {
                record(in.clock());
            }
            out.flush(outStream);
        }
    }

    private void record(long now) {
        int code = in.code();
        if (code == 25) {
            defineList();
            return;
        }
        int id = in.u16();
        out.instance(id);
        if (code == 24) {
            long seed = in.i64();
            Balancer.Settings settings = settings(in.text(in.u32()));
            decide(() -> instances.put(id, new AdaptiveBalancer(settings, seed, now, out)));
            return;
        }
        Balancer instance = instances.get(id);
        if (instance == null) {
            throw new WireException(in.where() + ": instance " + id + " was never started");
        }
        if (code == 19) {
            instances.remove(id);
            return;
        }
        decide(() -> event(code, instance, now));
    }

    private static Balancer.Settings settings(String text) {
        try {
            return SettingsParser.parse(text);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    /** Runs a piece of the decision code; its failure is told as the instance's death. */
    private void decide(Runnable decision) {
        try {
            decision.run();
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            out.die(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void event(int code, Balancer instance, long now) {
        switch (code) {
            case 16 -> {
                long spent = in.u32();
                Outcome outcome = outcome(in.u16());
                instance.probeOutcome(now, in.u32(), outcome, spent, load());
            }
            case 17 -> instance.streamStarted(now, in.i64(), in.u16(), in.u32(), in.u32());
            case 18 -> {
                int from = in.u16();
                instance.message(now, from, in.bytes(in.u16()));
            }
            case 20 -> {
                long id = in.i64();
                long key = in.i64();
                int attributes = in.u8();
                long deadline = in.i64();
                int requestClass = in.u8();
                int tenant = in.u16();
                long cost = in.u32();
                boolean costKnown = (attributes & 1) != 0;
                instance.request(
                        now,
                        new Balancer.Request(
                                id,
                                requestClass,
                                tenant,
                                key,
                                costKnown ? cost : 0,
                                deadline,
                                (attributes & 2) != 0,
                                (attributes & 4) != 0));
            }
            case 21 -> announce(instance, now);
            case 22 -> {
                long id = in.i64();
                int attempt = in.u16();
                long server = in.u32();
                Outcome outcome = outcome(in.u16());
                long spent = in.u32();
                boolean closed = in.u8() != 0;
                instance.outcome(now, id, attempt, server, outcome, spent, closed, load());
            }
            case 23 -> instance.clientLeft(now, in.i64());
            case 26 -> instance.timer(now, in.i64());
            default -> throw new WireException(in.where() + ": unknown code");
        }
    }

    private void defineList() {
        int number = in.u8();
        if (number >= LISTS) {
            throw new WireException(in.where() + ": list number " + number + " is over " + (LISTS - 1));
        }
        int count = in.count(in.u32(), SERVER_BYTES);
        List<Balancer.Server> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long server = in.u32();
            int zone = in.u16();
            int kind = in.u8();
            int cell = in.u16();
            Phase phase = phase(in.u8());
            double weight = in.f32();
            entries.add(new Balancer.Server(server, zone, cell, kind, phase, weight, in.i64()));
        }
        lists.set(number, List.copyOf(entries));
    }

    private void announce(Balancer instance, long now) {
        int number = in.u8();
        ListKind kind =
                switch (in.u8()) {
                    case 1 -> ListKind.DELTA;
                    case 2 -> ListKind.CACHED;
                    case 3 -> ListKind.FULL;
                    case 4 -> ListKind.FAILED;
                    default -> throw new WireException(in.where() + ": unknown kind of list");
                };
        in.u32(); // the list's version: events are ordered and complete, so nothing hangs on it
        if (kind == ListKind.FAILED) {
            instance.servers(now, kind, List.of());
            return;
        }
        List<Balancer.Server> entries = number < LISTS ? lists.get(number) : null;
        if (entries == null) {
            throw new WireException(in.where() + ": list " + number + " was never defined");
        }
        instance.servers(now, kind, entries);
    }

    private double[] load() {
        int n = in.u8();
        if (n == 0) {
            return NO_LOAD;
        }
        double[] load = new double[in.count(n, 4)];
        for (int i = 0; i < n; i++) {
            load[i] = in.f32();
        }
        return load;
    }

    private Phase phase(int code) {
        return switch (code) {
            case 1 -> Phase.GONE;
            case 2 -> Phase.DRAINING;
            case 3 -> Phase.READY;
            default -> throw new WireException(in.where() + ": unknown health " + code);
        };
    }

    private Outcome outcome(int code) {
        return switch (code) {
            case 200 -> Outcome.OK;
            case 502 -> Outcome.ERROR;
            case 429 -> Outcome.FULL;
            case 408 -> Outcome.TIMEOUT;
            case 521 -> Outcome.CONNECT_FAILED;
            case 520 -> Outcome.RESET;
            case 444 -> Outcome.CANCELLED;
            case 409 -> Outcome.NEVER_SENT;
            default -> throw new WireException(in.where() + ": unknown outcome " + code);
        };
    }
}
