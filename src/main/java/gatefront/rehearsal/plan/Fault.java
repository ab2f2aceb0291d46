package gatefront.rehearsal.plan;

import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;

/**
 * Something that goes wrong, or is done on purpose, under way.
 *
 * @param kind what
 * @param at when, in seconds
 * @param duration how long, in seconds; what that means depends on the kind
 * @param share of the nodos or agents that it meets; at least one where above 0
 * @param names those it meets, instead of a share; may be empty
 * @param size how bad: a factor or a part, by kind
 * @param period for what comes and goes, how long each of both takes, in seconds
 * @param zone the one sala whose nodos or agents it meets, or -1 for all
 * @param spread over how many seconds those that it meets are met, one after the other
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
    /** One that meets all salas, and those that it meets at once. */
    public Fault(
            Kind kind,
            NumberRange at,
            NumberRange lasts,
            double share,
            List<String> names,
            NumberRange size,
            NumberRange every) {
        this(kind, at, lasts, share, names, size, every, -1, new NumberRange(0, 0));
    }

    /** The same with these figures, for those of these names, whatever sala they stand in. */
    public Fault withFixedValues(
            NumberRange begins,
            NumberRange takes,
            List<String> those,
            NumberRange how,
            NumberRange often,
            NumberRange over) {
        return new Fault(kind, begins, takes, share, those, how, often, -1, over);
    }

    /** The same, beginning at this second at the latest. */
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

    /** What may go wrong. */
    public enum Kind {
        /** Processes die together and come back cold after the time. */
        DIE(Target.NODOS, false),
        /** Work takes so many times as long. */
        SLOW(Target.NODOS, true),
        /** The part of the requests fails at once. */
        FAIL(Target.NODOS, true),
        /** Another program takes the part of the machine, on and off. */
        TAKEN(Target.NODOS, true),
        /** Told to drain; ready again after the time. */
        DRAIN(Target.NODOS, false),
        /** Told to drain, leaves the list after the time and ends. */
        LEAVE(Target.NODOS, false),
        /** The machine says nothing for the time; then it has booted anew. */
        VANISH(Target.NODOS, false),
        /** Cut off for the time; nothing on the machine notices. */
        CUT_OFF(Target.NODOS, false),
        /** Another nodo starts cold at its address, under a new name. */
        REPLACE(Target.NODOS, false),
        /** A successor starts cold on a machine of its own; the old one drains after a third of the time. */
        SUCCEED(Target.NODOS, false),
        /** The part of the answers breaks off in the middle. */
        BREAK_OFF(Target.NODOS, true),
        /** So many times the usual traffic. */
        JUMP(Target.NONE, true),
        /** The part of the callers gives up each try long before its answer is due, and comes again. */
        HURRY(Target.NONE, true),
        /** The padrón answers nothing. */
        PADRON_SILENT(Target.NONE, false),
        /** All members of the registry are down for the time. */
        REGISTRY_DOWN(Target.NONE, false),
        /** The registry tells changes so many seconds late. */
        REGISTRY_SLOW(Target.NONE, true),
        /** The registry forgets what changed before. */
        REGISTRY_COMPACT(Target.NONE, false),
        /** Agents are killed outright and start again after the time. */
        AGENT_KILL(Target.AGENTS, false),
        /** Agents get SIGTERM, one after the other so far apart, and start again when they have ended. */
        AGENT_RESTART(Target.AGENTS, false),
        /** Agents get a new configuration: the padrón has another address. */
        AGENT_RELOAD(Target.AGENTS, false);

        /** Who may be met. */
        public enum Target {
            /** Nodos. */
            NODOS,
            /** Agents. */
            AGENTS,
            /** No one in particular. */
            NONE
        }

        private final Target target;
        private final boolean needsSize;

        Kind(Target whom, boolean sized) {
            this.target = whom;
            this.needsSize = sized;
        }

        /** Who may be met. */
        public Target target() {
            return target;
        }

        /** Whether it needs a size. */
        public boolean needsSize() {
            return needsSize;
        }

        /** Whether it needs a registry to happen to. */
        public boolean needsRegistry() {
            return this == REGISTRY_DOWN || this == REGISTRY_SLOW || this == REGISTRY_COMPACT;
        }

        /** As it stands in a plan. */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
