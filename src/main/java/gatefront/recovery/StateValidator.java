package gatefront.recovery;

import java.util.Locale;

/**
 * The rules by which restored state is validated. State must show which instance wrote it and when; state that cannot
 * is discarded, and the reason is logged.
 *
 * <p>Manual drains never expire: those of this instance hold at any age, because no other source knows of them. If they
 * were last written long before this start, or later than the present time, further ones may have followed, and they
 * are unconfirmed. A restored server list is a guess until the first full list arrives, so using an outdated one is
 * worse than having none.
 */
public final class StateValidator {
    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * The limits used for validation, in microseconds.
     *
     * @param unconfirmedAfterMicros manual drains that were last written longer than this before the start may be
     *     incomplete
     * @param maxListAgeMicros a server list older than this is not used
     * @param maxClockLeadMicros how far a stored time may lie ahead of the present time, since the machine's clock may
     *     have been set back
     */
    public record Bounds(long unconfirmedAfterMicros, long maxListAgeMicros, long maxClockLeadMicros) {}

    private StateValidator() {}

    /** Validates restored state at time {@code now} for the given instance. */
    public static ValidationResult validate(RestoredState state, String instance, long now, Bounds bounds) {
        if (state.instance() != null && !state.instance().equals(instance)) {
            return new ValidationResult(state, TrustLevel.DISCARDED, "it is that of " + state.instance());
        }
        if (state.damaged()) {
            return state.kind() == StateKind.BANS
                    ? new ValidationResult(state, TrustLevel.UNCONFIRMED, "it is damaged; what could be read stays out")
                    : new ValidationResult(state, TrustLevel.DISCARDED, "it is damaged");
        }
        return state.kind() == StateKind.BANS
                ? validateBans(state, now, bounds)
                : validateServerList(state, now, bounds);
    }

    private static ValidationResult validateBans(RestoredState state, long now, Bounds bounds) {
        if (state.source() == StateSource.PREVIOUS_PROCESS) {
            return new ValidationResult(state, TrustLevel.TRUSTED, "reported by that process");
        }
        if (state.writtenUntilMicros() > now + bounds.maxClockLeadMicros) {
            return new ValidationResult(
                    state,
                    TrustLevel.UNCONFIRMED,
                    seconds(state.writtenUntilMicros() - now) + " ahead of this clock; what is " + "out stays out");
        }
        if (state.writtenUntilMicros() < now - bounds.unconfirmedAfterMicros) {
            return new ValidationResult(
                    state,
                    TrustLevel.UNCONFIRMED,
                    "it ends " + seconds(now - state.writtenUntilMicros()) + " before this start: "
                            + "either nobody was there, or it was put back; what is out stays out, "
                            + "calls since are not known");
        }
        return new ValidationResult(
                state,
                TrustLevel.TRUSTED,
                "it ends " + seconds(Math.max(0, now - state.writtenUntilMicros())) + " before this start");
    }

    private static ValidationResult validateServerList(RestoredState state, long now, Bounds bounds) {
        if (state.source() == StateSource.CONFIGURATION) {
            return new ValidationResult(
                    state, TrustLevel.UNCONFIRMED, "it has no timestamp; used until the first full server list");
        }
        if (state.writtenUntilMicros() > now + bounds.maxClockLeadMicros) {
            return new ValidationResult(
                    state,
                    TrustLevel.DISCARDED,
                    seconds(state.writtenUntilMicros() - now) + " ahead of this clock, above the limit of "
                            + seconds(bounds.maxClockLeadMicros));
        }
        if (state.writtenUntilMicros() < now - bounds.maxListAgeMicros) {
            return new ValidationResult(
                    state,
                    TrustLevel.DISCARDED,
                    seconds(now - state.writtenUntilMicros()) + " old, above the limit of "
                            + seconds(bounds.maxListAgeMicros));
        }
        return new ValidationResult(
                state,
                TrustLevel.UNCONFIRMED,
                seconds(Math.max(0, now - state.writtenUntilMicros())) + " old; used until the first full server list");
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.1f s", micros / MICROS_PER_SECOND);
    }
}
