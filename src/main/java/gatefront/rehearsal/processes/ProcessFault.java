package gatefront.rehearsal.processes;

import gatefront.toml.NumberRange;
import java.util.List;
import java.util.Locale;

/**
 * What goes wrong with processes of the program, their folders and the links between them, or is done by hand.
 *
 * @param kind what
 * @param at when, in seconds
 * @param duration how long, in seconds: until a killed process starts again, a stopped one wakes, a link is healed
 * @param share of the agents that it meets; at least one where above 0
 * @param names the agents that it meets, instead of a share
 * @param spread over how many seconds they are met, one after the other
 * @param state what becomes of the folder of a process that is killed
 * @param clockOffsetSeconds by how many seconds the time of day of the next process is off
 * @param maxFileKilobytes of how many kilobytes the next process can write a file at the most; 0 for any
 * @param copiedAtSecond of {@link State#OLDER}: the second of which the copy is
 * @param links which links, for what happens to those
 * @param direction which of their directions
 * @param size how bad: milliseconds of delay, kilobytes a second, how many starts
 * @param nodos whom a call by hand is about
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
    /** What may happen. */
    public enum Kind {
        /** SIGKILL, and a start after the time. */
        KILL,
        /** SIGTERM, and a start when it has ended. */
        TERM,
        /** SIGSTOP, and SIGCONT after the time. */
        STOP,
        /** Killed as soon as it is there, as many times as the size says; then left alone. */
        CRASH_LOOP,
        /** Links pass nothing. */
        CUT,
        /** Links are late by the size. */
        DELAY,
        /** Links pass so many kilobytes a second. */
        THROTTLE,
        /** Connections are reset. */
        RESET,
        /** The far ends of connections are gone, and the near ones are not told. */
        HALF_OPEN,
        /** Staff take nodos out at agents. */
        OUT,
        /** And put them back. */
        BACK;

        /** As it stands in a plan. */
        public String keyword() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Whether it happens to links. */
        public boolean affectsLinks() {
            return this == CUT || this == DELAY || this == THROTTLE || this == RESET || this == HALF_OPEN;
        }

        /** Whether somebody calls at doors. */
        public boolean isOperatorCall() {
            return this == OUT || this == BACK;
        }

        /** Whether it needs a size. */
        public boolean needsSize() {
            return this == DELAY || this == THROTTLE || this == CRASH_LOOP;
        }
    }

    /** What becomes of a folder while its process is dead. */
    public enum State {
        /** Nothing. */
        KEPT,
        /** All of it is gone. */
        WIPED,
        /** A copy of an earlier time stands there. */
        OLDER,
        /** The last quarter of its newest file is missing. */
        TORN,
        /** One bit of its newest file is another. */
        FLIPPED,
        /** It has the files of another agent. */
        ANOTHERS,
        /** Nothing can be written there. */
        READ_ONLY
    }

    /** Which links of an agent. */
    public enum Links {
        /** To its nodos. */
        NODOS,
        /** To its padrón. */
        PADRON,
        /** From its callers. */
        CALLERS,
        /** From staff. */
        DOOR,
        /** All of them. */
        ALL
    }

    /** Seen from the agent. */
    public enum Direction {
        /** Both. */
        BOTH,
        /** What comes to it. */
        IN,
        /** What it sends. */
        OUT
    }
}
