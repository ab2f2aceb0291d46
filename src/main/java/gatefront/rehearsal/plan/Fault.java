package gatefront.rehearsal.plan;

import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;

/**
 * A fault, or a planned operation such as a restart, that a plan injects during a rehearsal.
 *
 * @param kind what happens
 * @param at when it begins, in seconds since traffic started
 * @param duration in seconds; its meaning depends on the kind
 * @param share the share of the nodos or agents that are affected; at least one if above 0
 * @param names the affected nodos or agents, instead of a share; may be empty
 * @param size the severity, a factor or a share, depending on the kind
 * @param period for an intermittent fault, the length of each on and each off phase in seconds
 * @param zone the index of the only sala whose nodos or agents are affected, or -1 for all
 * @param spread the period in seconds over which the affected nodos or agents are hit one after the other
 */
public record Fault(
        Kind kind,
        NumberRange at,
        NumberRange duration,
        double share,
        List<String> names,
        NumberRange size,
        NumberRange period,
        int zone,
        NumberRange spread) {
    /** Creates a fault that affects all salas, and hits all affected nodos or agents at once. */
    public Fault(
            Kind kind,
            NumberRange at,
            NumberRange duration,
            double share,
            List<String> names,
            NumberRange size,
            NumberRange period) {
        this(kind, at, duration, share, names, size, period, -1, new NumberRange(0, 0));
    }

    /** Returns this fault with the given values, for nodos or agents given by name in any sala. */
    public Fault withFixedValues(
            NumberRange newAt,
            NumberRange newDuration,
            List<String> newNames,
            NumberRange newSize,
            NumberRange newPeriod,
            NumberRange newSpread) {
        return new Fault(kind, newAt, newDuration, share, newNames, newSize, newPeriod, -1, newSpread);
    }

    /** Returns this fault, beginning no later than the given second. */
    Fault startingAtLatest(double seconds) {
        return new Fault(
                kind,
                new NumberRange(at.low(), Math.min(at.high(), seconds)),
                duration,
                share,
                names,
                size,
                period,
                zone,
                spread);
    }

    /** The kinds of faults. Their order is that in which messages list them. */
    public enum Kind {
        /** Server processes die together and start again, cold, after the duration. */
        DIE(Target.NODOS, false),
        /** Work takes longer by the factor. */
        SLOW(Target.NODOS, true),
        /** The given share of the requests fails at once. */
        FAIL(Target.NODOS, true),
        /** Another program takes the given share of the machine intermittently. */
        TAKEN(Target.NODOS, true),
        /** Servers drain, and are ready again after the duration. */
        DRAIN(Target.NODOS, false),
        /** Servers drain, leave the server list after the duration and exit. */
        LEAVE(Target.NODOS, false),
        /** The machine is silent for the duration and has then rebooted. */
        VANISH(Target.NODOS, false),
        /** The machine is cut off from the network for the duration; its processes keep running. */
        CUT_OFF(Target.NODOS, false),
        /** Another server starts, cold, at the same address under a new name. */
        REPLACE(Target.NODOS, false),
        /** A successor starts, cold, on another machine; the old server drains after a third of the duration. */
        SUCCEED(Target.NODOS, false),
        /** The given share of the responses is cut off in the middle. */
        BREAK_OFF(Target.NODOS, true),
        /** Traffic grows by the factor. */
        JUMP(Target.NONE, true),
        /** The given share of the clients gives up each try long before its response is due, and retries. */
        HURRY(Target.NONE, true),
        /** The padrón does not respond. */
        PADRON_SILENT(Target.NONE, false),
        /** All members of the registry are down for the duration. */
        REGISTRY_DOWN(Target.NONE, false),
        /** The registry reports changes late, by the size in seconds. */
        REGISTRY_SLOW(Target.NONE, true),
        /** The registry compacts its history. */
        REGISTRY_COMPACT(Target.NONE, false),
        /** Agents are killed with SIGKILL and start again after the duration. */
        AGENT_KILL(Target.AGENTS, false),
        /** Agents get SIGTERM one after the other, at intervals of the duration, and start again once they exited. */
        AGENT_RESTART(Target.AGENTS, false),
        /** Agents reload a configuration in which the padrón has another address. */
        AGENT_RELOAD(Target.AGENTS, false);

        /** What a kind of fault affects. */
        public enum Target {
            /** Nodos. */
            NODOS,
            /** Agents. */
            AGENTS,
            /** No individual nodo or agent; the fault is global. */
            NONE
        }

        private final Target target;
        private final boolean needsSize;

        Kind(Target target, boolean needsSize) {
            this.target = target;
            this.needsSize = needsSize;
        }

        /** Returns what the fault affects. */
        public Target target() {
            return target;
        }

        /** Returns whether the plan has to give a size. */
        public boolean needsSize() {
            return needsSize;
        }

        /** Returns whether the fault applies only to plans with a registry. */
        public boolean needsRegistry() {
            return this == REGISTRY_DOWN || this == REGISTRY_SLOW || this == REGISTRY_COMPACT;
        }

        /** Returns the name of the kind in plan files. */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
