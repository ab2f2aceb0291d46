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

/** Adapts the decision module to the simulator's protocol, for many instances. It makes no decisions itself. */
public final class Drill {
    /** Codes of the records that the simulator sends. */
    private static final int PROBE_OUTCOME = 16;

    private static final int STREAM_STARTED = 17;
    private static final int MESSAGE = 18;
    private static final int STOP_INSTANCE = 19;
    private static final int REQUEST = 20;
    private static final int SERVER_LIST = 21;
    private static final int ATTEMPT_OUTCOME = 22;
    private static final int CLIENT_LEFT = 23;
    private static final int START_INSTANCE = 24;
    private static final int DEFINE_LIST = 25;
    private static final int TIMER = 26;

    private static final double[] NO_LOAD = new double[0];
    /** Server lists that can be defined at a time, numbered from 0. */
    private static final int MAX_LISTS = 16;
    /** Encoded length of one server of a list. */
    private static final int SERVER_ENTRY_BYTES = 22;

    private final FrameReader in;
    private final OutputStream outStream;
    private final FrameWriter out = new FrameWriter();
    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Balancer.Server>> lists = new ArrayList<>();

    /** Creates a drill that reads frames from one stream and writes replies to the other. */
    public Drill(InputStream in, OutputStream out) {
        this.in = new FrameReader(in);
        this.outStream = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    /** Processes frames until the input ends, and writes a reply to each. */
    public void run() throws IOException {
        while (in.nextFrame()) {
            while (in.nextRecord()) {
                handleRecord(in.clock());
            }
            out.flush(outStream);
        }
    }

    private void handleRecord(long now) {
        int code = in.code();
        if (code == DEFINE_LIST) {
            defineList();
            return;
        }
        int id = in.u16();
        out.instance(id);
        if (code == START_INSTANCE) {
            long seed = in.i64();
            Balancer.Settings settings = parseSettings(in.text(in.u32()));
            runDecision(() -> instances.put(id, new AdaptiveBalancer(settings, seed, now, out)));
            return;
        }
        Balancer instance = instances.get(id);
        if (instance == null) {
            throw new WireException(in.location() + ": instance " + id + " has not been started");
        }
        if (code == STOP_INSTANCE) {
            instances.remove(id);
            return;
        }
        runDecision(() -> dispatchEvent(code, instance, now));
    }

    private static Balancer.Settings parseSettings(String text) {
        try {
            return SettingsParser.parse(text);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    /** Runs decision code; an unexpected exception is reported as the failure of the instance. */
    private void runDecision(Runnable decision) {
        try {
            decision.run();
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            out.instanceFailed(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void dispatchEvent(int code, Balancer instance, long now) {
        switch (code) {
            case PROBE_OUTCOME -> {
                long elapsedMicros = in.u32();
                Outcome outcome = outcome(in.u16());
                instance.probeOutcome(now, in.u32(), outcome, elapsedMicros, readLoadReport());
            }
            case STREAM_STARTED -> instance.streamStarted(now, in.i64(), in.u16(), in.u32(), in.u32());
            case MESSAGE -> {
                int from = in.u16();
                instance.message(now, from, in.bytes(in.u16()));
            }
            case REQUEST -> {
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
            case SERVER_LIST -> applyServerList(instance, now);
            case ATTEMPT_OUTCOME -> {
                long id = in.i64();
                int attempt = in.u16();
                long server = in.u32();
                Outcome outcome = outcome(in.u16());
                long elapsedMicros = in.u32();
                boolean closed = in.u8() != 0;
                instance.outcome(now, id, attempt, server, outcome, elapsedMicros, closed, readLoadReport());
            }
            case CLIENT_LEFT -> instance.clientLeft(now, in.i64());
            case TIMER -> instance.timer(now, in.i64());
            default -> throw new WireException(in.location() + ": unknown code");
        }
    }

    private void defineList() {
        int number = in.u8();
        if (number >= MAX_LISTS) {
            throw new WireException(in.location() + ": list number " + number + "; expected 0 to " + (MAX_LISTS - 1));
        }
        int count = in.checkedCount(in.u32(), SERVER_ENTRY_BYTES);
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

    private void applyServerList(Balancer instance, long now) {
        int number = in.u8();
        int kindCode = in.u8();
        ListKind kind =
                switch (kindCode) {
                    case 1 -> ListKind.DELTA;
                    case 2 -> ListKind.CACHED;
                    case 3 -> ListKind.FULL;
                    case 4 -> ListKind.FAILED;
                    default -> throw new WireException(in.location() + ": unknown list kind " + kindCode);
                };
        in.u32(); // list version; unused, because events are ordered and complete
        if (kind == ListKind.FAILED) {
            instance.servers(now, kind, List.of());
            return;
        }
        List<Balancer.Server> entries = number < MAX_LISTS ? lists.get(number) : null;
        if (entries == null) {
            throw new WireException(in.location() + ": list " + number + " has not been defined");
        }
        instance.servers(now, kind, entries);
    }

    private double[] readLoadReport() {
        int count = in.u8();
        if (count == 0) {
            return NO_LOAD;
        }
        double[] load = new double[in.checkedCount(count, 4)];
        for (int i = 0; i < count; i++) {
            load[i] = in.f32();
        }
        return load;
    }

    private Phase phase(int code) {
        return switch (code) {
            case 1 -> Phase.GONE;
            case 2 -> Phase.DRAINING;
            case 3 -> Phase.READY;
            default -> throw new WireException(in.location() + ": unknown health " + code);
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
            default -> throw new WireException(in.location() + ": unknown outcome " + code);
        };
    }
}
