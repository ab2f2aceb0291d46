package gatefront.recovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks how far an agent has recovered its state since its start: a stage with a reason and the time at which it was
 * reached, and whether stored state was lost. A loss is reported for the lifetime of the process, because nothing that
 * is received later can show what was lost.
 *
 * <p>Times are microseconds of the time of day. State: one result for each piece of state that was validated, and the
 * log lines that have not been taken.
 */
public final class Recovery {
    /** The stages of a recovery. */
    public enum Stage {
        /** No state has been validated. */
        STARTING("starting"),
        /** The agent uses restored or configured state that no source has confirmed. */
        RESTORED("on what was kept"),
        /** A full server list has been received. */
        LIST_RECEIVED("listed"),
        /** The agent serves, and no state is missing. */
        COMPLETE("whole"),
        /** The agent serves, but stored state is lost: operators have to repeat their manual drains. */
        INCOMPLETE("lacking");

        private final String label;

        Stage(String label) {
            this.label = label;
        }

        /** Returns the words used in log lines and on the operators' statistics page. */
        public String label() {
            return label;
        }
    }

    /** The condition in which the store was found. */
    public enum StoreStatus {
        /** The store could be read completely. */
        INTACT,
        /** There is no store: this is the first start, or the store is lost. */
        MISSING,
        /** A file of the store does not hold what was written. */
        DAMAGED,
        /** The store belongs to another instance. */
        FOREIGN,
        /** Another process of this instance has the store open. */
        IN_USE,
        /** The store can neither be read nor written. */
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

    /** Creates the recovery of an instance that starts at {@code now}. */
    public Recovery(String instance, StateValidator.Bounds bounds, long now) {
        this.instance = instance;
        this.bounds = bounds;
        this.stageSinceMicros = now;
    }

    /** Records the result of opening the store; {@code detail} is text for operators. */
    public void storeOpened(StoreStatus status, String detail, long now) {
        switch (status) {
            case INTACT -> log("the store is intact, " + detail);
            case IN_USE -> log(
                    "another process of this instance has the store open; " + "what that process reports is used");
            default -> {
                lossReason = switch (status) {
                            case MISSING -> "no store: a first start, or it is lost";
                            case DAMAGED -> "the store is damaged";
                            case FOREIGN -> "the store is another's";
                            default -> "the store cannot be used, and nothing is kept";
                        }
                        + (detail.isEmpty() ? "" : "; " + detail);
                log(lossReason);
            }
        }
        updateStage(now);
    }

    /** Validates a piece of restored state. */
    public ValidationResult validate(RestoredState state, long now) {
        ValidationResult result = StateValidator.validate(state, instance, now, bounds);
        results.add(result);
        log(result.logLine());
        if (state.kind() == StateKind.BANS && result.trust() != TrustLevel.TRUSTED && lossReason == null) {
            lossReason = result.logLine();
        }
        updateStage(now);
        return result;
    }

    /** Records that a full server list has been received. */
    public void serverListReceived(long now) {
        if (!serverListReceived) {
            serverListReceived = true;
            updateStage(now);
        }
    }

    /** Records that the agent accepts requests. */
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

    /** Returns the stage that has been reached. */
    public Stage stage() {
        return stage;
    }

    /** Returns why this stage, and no later one, has been reached. */
    public String reason() {
        return reason;
    }

    /** Returns the time at which the present stage was reached. */
    public long stageSinceMicros() {
        return stageSinceMicros;
    }

    /** Returns whether manual drains of this instance may have been lost. */
    public boolean stateLost() {
        return lossReason != null;
    }

    /** Returns the results of all validations, in order. */
    public List<ValidationResult> results() {
        return List.copyOf(results);
    }

    /** Returns and removes the log lines added since the last call. */
    public List<String> takeLogLines() {
        List<String> taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }
}
