package gatefront.rehearsal.processes;

import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;

/**
 * A fault of agent processes, their folders or their links, or a command of an operator.
 *
 * @param kind what happens
 * @param at when it begins, in seconds since traffic started
 * @param duration in seconds: until a killed process is started again, a stopped one resumes or a link is restored
 * @param share the share of the agents that are affected; at least one agent if above 0
 * @param names the agents that are affected, instead of a share
 * @param spread the period in seconds over which the affected agents are hit one after the other
 * @param state what happens to the folder of a killed process
 * @param clockOffsetSeconds the offset of the wall clock of the next process
 * @param maxFileKilobytes the largest file that the next process can write; 0 for no limit
 * @param copiedAtSecond for {@link State#OLDER}: when the copy is taken, in seconds since traffic started
 * @param links the affected links, for faults of links
 * @param direction the affected directions of those links
 * @param size milliseconds of delay, kilobytes per second, number of kills or number of connections, depending on the
 *     kind
 * @param nodos the servers that an operator command names
 */
public record ProcessFault(
        Kind kind,
        NumberRange at,
        NumberRange duration,
        double share,
        List<String> names,
        NumberRange spread,
        State state,
        double clockOffsetSeconds,
        int maxFileKilobytes,
        double copiedAtSecond,
        Links links,
        Direction direction,
        NumberRange size,
        List<String> nodos) {
    /** The kinds of faults. */
    public enum Kind {
        /** SIGKILL; the process is started again after the duration. */
        KILL,
        /** SIGTERM; the process is started again after its exit plus the duration. */
        TERM,
        /** SIGSTOP, then SIGCONT after the duration. */
        STOP,
        /** The process is killed as soon as it is ready, as many times as the size says. */
        CRASH_LOOP,
        /** Links pass no traffic. */
        CUT,
        /** Links add a latency of the size, in milliseconds. */
        DELAY,
        /** Links are limited to the size, in kilobytes per second. */
        THROTTLE,
        /** Connections are reset. */
        RESET,
        /** The far ends of connections are closed without notice to the near ends. */
        HALF_OPEN,
        /** An operator drains servers at agents. */
        OUT,
        /** An operator puts drained servers back. */
        BACK,
        /** A {@link SignalSeries}; the process is started again after its exit plus the duration. */
        SIGNALS,
        /** A {@link ConnectionCrowd} of the size, for the duration. */
        CROWD;

        /** Returns the name of the kind in plan files. */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Returns whether the fault affects links. */
        public boolean affectsLinks() {
            return this == CUT || this == DELAY || this == THROTTLE || this == RESET || this == HALF_OPEN;
        }

        /** Returns whether it is an operator command, sent to the management endpoint of an agent. */
        public boolean isOperatorCall() {
            return this == OUT || this == BACK;
        }

        /** Returns whether the plan has to give a size. */
        public boolean needsSize() {
            return this == DELAY || this == THROTTLE || this == CRASH_LOOP || this == CROWD;
        }
    }

    /** What happens to the folder of a killed process before the next start. */
    public enum State {
        /** Nothing changes. */
        KEPT,
        /** The folder is deleted. */
        WIPED,
        /** The folder is replaced by an earlier copy of itself. */
        OLDER,
        /** The last quarter of its newest file is missing. */
        TORN,
        /** One bit of its newest file is inverted. */
        FLIPPED,
        /** The folder is replaced by a copy of that of another agent. */
        ANOTHERS,
        /** The folder is read-only. */
        READ_ONLY
    }

    /** The links of an agent. */
    public enum Links {
        /** To the servers. */
        NODOS,
        /** To the padrón. */
        PADRON,
        /** From the clients. */
        CALLERS,
        /** From operators, to the management endpoint. */
        DOOR,
        /** All links. */
        ALL
    }

    /** Directions of a link, as the agent sees it. */
    public enum Direction {
        /** Both directions. */
        BOTH,
        /** Traffic to the agent. */
        IN,
        /** Traffic from the agent. */
        OUT
    }
}
