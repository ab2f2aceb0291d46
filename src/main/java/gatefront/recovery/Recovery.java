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
        RESTORED("on what was kept"),
        /** A whole list has come. */
        LIST_RECEIVED("listed"),
        /** It serves, and nothing that it ought to know is missing. */
        COMPLETE("whole"),
        /** It serves, and something that it ought to know is lost: staff have to tell it again. */
        INCOMPLETE("lacking");

        private final String label;

        Stage(String words) {
            this.label = words;
        }

        /** As staff read it. */
        public String label() {
            return label;
        }
    }

    /** What a store was found to be. */
    public enum StoreStatus {
        /** It is there and whole. */
        INTACT,
        /** None is there: a first start, or it is lost. */
        MISSING,
        /** A file of it is not what was written. */
        DAMAGED,
        /** It is that of another instance. */
        FOREIGN,
        /** Another process of this instance has it. */
        IN_USE,
        /** Nothing can be read or written there. */
        UNUSABLE
    }

    private final String instance;
    private final StateValidator.Bounds bounds;
    private final List<String> logLines = new ArrayList<>();
    private final List<ValidationResult> results = new ArrayList<>();
    private Stage stage = Stage.STARTING;
    private String reason = "it has begun";
    private long stageSinceMicros;
    private boolean serverListReceived;
    private boolean serving;
    private String lossReason;

    /** Begins at a time. */
    public Recovery(String instance, StateValidator.Bounds bounds, long now) {
        this.instance = instance;
        this.bounds = bounds;
        this.stageSinceMicros = now;
    }

    /** The store has been opened, or could not be; {@code why} is for staff. */
    public void storeOpened(StoreStatus state, String why, long now) {
        switch (state) {
            case INTACT -> log("the store is whole, " + why);
            case IN_USE -> log("another process of this instance has the store; what it tells is taken from it");
            default -> {
                lossReason = switch (state) {
                            case MISSING -> "no store: a first start, or it is lost";
                            case DAMAGED -> "the store is damaged";
                            case FOREIGN -> "the store is another's";
                            default -> "the store cannot be used, and nothing is kept";
                        }
                        + (why.isEmpty() ? "" : "; " + why);
                log(lossReason);
            }
        }
        updateStage(now);
    }

    /** Something is there to be believed or not. */
    public ValidationResult validate(RestoredState claim, long now) {
        ValidationResult finding = StateValidator.validate(claim, instance, now, bounds);
        results.add(finding);
        log(finding.logLine());
        if (claim.kind() == StateKind.BANS && finding.trust() != TrustLevel.TRUSTED && lossReason == null) {
            lossReason = finding.logLine();
        }
        updateStage(now);
        return finding;
    }

    /** A whole list has come from those who know. */
    public void serverListReceived(long now) {
        if (!serverListReceived) {
            serverListReceived = true;
            updateStage(now);
        }
    }

    /** It takes callers. */
    public void servingStarted(long now) {
        serving = true;
        updateStage(now);
    }

    private void updateStage(long now) {
        Stage next = !serverListReceived
                ? results.isEmpty() ? Stage.STARTING : Stage.RESTORED
                : !serving ? Stage.LIST_RECEIVED : lossReason == null ? Stage.COMPLETE : Stage.INCOMPLETE;
        if (next != stage) {
            stage = next;
            stageSinceMicros = now;
            reason = switch (stage) {
                case STARTING -> "it has begun";
                case RESTORED -> "no whole list has come";
                case LIST_RECEIVED -> "it does not serve yet";
                case COMPLETE -> "a whole list has come, and all that was kept is known";
                case INCOMPLETE -> lossReason;
            };
            log(stage.label() + ": " + reason);
        }
    }

    private void log(String line) {
        logLines.add("recovery: " + line);
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
    public long stageSinceMicros() {
        return stageSinceMicros;
    }

    /** Whether something of what staff told this instance may not be known any more. */
    public boolean stateLost() {
        return lossReason != null;
    }

    /** What was found, in the order of the claims. */
    public List<ValidationResult> results() {
        return List.copyOf(results);
    }

    /** Lines for the log since this was last asked. */
    public List<String> takeLogLines() {
        List<String> taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }
}
