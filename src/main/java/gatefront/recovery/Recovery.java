package gatefront.recovery;

import java.util.ArrayList;
import java.util.List;

/**
 * The way of one agent from its start back to what it knew: a stage with a reason and a time, and whether something of
 * what it kept is lost, which holds for the life of the process, since nothing that comes later can tell what was lost.
 *
 * <p>Times are microseconds of the time of day. State: the findings, one for each claim, and lines not yet taken.
 */
public final class Recovery {
    /** How far it has come back. */
    public enum Stage {
        /** Nothing has been looked at. */
        STARTING("starting"),
        /** It serves, if it does, on what was kept or written in its file; nobody has confirmed that. */
        KEPT("on what was kept"),
        /** A whole list has come. */
        LISTED("listed"),
        /** It serves, and nothing that it ought to know is missing. */
        WHOLE("whole"),
        /** It serves, and something that it ought to know is lost: staff have to tell it again. */
        LACKING("lacking");

        private final String words;

        Stage(String words) {
            this.words = words;
        }

        /** As staff read it. */
        public String words() {
            return words;
        }
    }

    /** What a store was found to be. */
    public enum Store {
        /** It is there and whole. */
        WHOLE,
        /** None is there: a first start, or it is lost. */
        MISSING,
        /** A file of it is not what was written. */
        DAMAGED,
        /** It is that of another instance. */
        ANOTHERS,
        /** Another process of this instance has it. */
        IN_USE,
        /** Nothing can be read or written there. */
        UNUSABLE
    }

    private final String instance;
    private final StateValidator.Bounds bounds;
    private final List<String> lines = new ArrayList<>();
    private final List<ValidationResult> findings = new ArrayList<>();
    private Stage stage = Stage.STARTING;
    private String reason = "it has begun";
    private long since;
    private boolean listed;
    private boolean serves;
    private String lost;

    /** Begins at a time. */
    public Recovery(String instance, StateValidator.Bounds bounds, long now) {
        this.instance = instance;
        this.bounds = bounds;
        this.since = now;
    }

    /** The store has been opened, or could not be; {@code why} is for staff. */
    public void store(Store state, String why, long now) {
        switch (state) {
            case WHOLE -> say("the store is whole, " + why);
            case IN_USE -> say("another process of this instance has the store; what it tells is taken from it");
            default -> {
                lost = switch (state) {
                            case MISSING -> "no store: a first start, or it is lost";
                            case DAMAGED -> "the store is damaged";
                            case ANOTHERS -> "the store is another's";
                            default -> "the store cannot be used, and nothing is kept";
                        }
                        + (why.isEmpty() ? "" : "; " + why);
                say(lost);
            }
        }
        step(now);
    }

    /** Something is there to be believed or not. */
    public ValidationResult claim(RestoredState claim, long now) {
        ValidationResult finding = StateValidator.judge(claim, instance, now, bounds);
        findings.add(finding);
        say(finding.line());
        if (claim.piece() == StateKind.BANS && finding.verdict() != TrustLevel.BELIEVED && lost == null) {
            lost = finding.line();
        }
        step(now);
        return finding;
    }

    /** A whole list has come from those who know. */
    public void listed(long now) {
        if (!listed) {
            listed = true;
            step(now);
        }
    }

    /** It takes callers. */
    public void serves(long now) {
        serves = true;
        step(now);
    }

    private void step(long now) {
        Stage next = !listed
                ? findings.isEmpty() ? Stage.STARTING : Stage.KEPT
                : !serves ? Stage.LISTED : lost == null ? Stage.WHOLE : Stage.LACKING;
        if (next != stage) {
            stage = next;
            since = now;
            reason = switch (stage) {
                case STARTING -> "it has begun";
                case KEPT -> "no whole list has come";
                case LISTED -> "it does not serve yet";
                case WHOLE -> "a whole list has come, and all that was kept is known";
                case LACKING -> lost;
            };
            say(stage.words() + ": " + reason);
        }
    }

    private void say(String line) {
        lines.add("recovery: " + line);
    }

    /** How far it is. */
    public Stage stage() {
        return stage;
    }

    /** Why it is no further. */
    public String reason() {
        return reason;
    }

    /** Since when it is there. */
    public long since() {
        return since;
    }

    /** Whether something of what staff told this instance may not be known any more. */
    public boolean lost() {
        return lost != null;
    }

    /** What was found, in the order of the claims. */
    public List<ValidationResult> findings() {
        return List.copyOf(findings);
    }

    /** Lines for the log since this was last asked. */
    public List<String> lines() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }
}
