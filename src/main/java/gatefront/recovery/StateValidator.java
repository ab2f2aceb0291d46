package gatefront.recovery;

import java.util.Locale;

/**
 * The rules by which claims are judged. A claim has to prove whose it is and of when; what cannot is dropped, and said.
 *
 * <p>Calls by hand never lapse: those of this very instance hold at any age, for nobody else knows of them; where the
 * time up to which they were written lies long before the start, or after it, there may have been others since, and
 * they are doubted. A list is only a guess until the first whole one comes, so an old one is worse than none.
 */
public final class StateValidator {
    private static final double MICROS = 1e6;

    /**
     * The figures, in microseconds.
     *
     * @param unconfirmedAfterMicros calls by hand that end so long before the start may not be all
     * @param maxListAgeMicros a list that is older serves nobody
     * @param maxClockLeadMicros a time of day may be so much later than now: clocks of one machine that were set
     */
    public record Bounds(long unconfirmedAfterMicros, long maxListAgeMicros, long maxClockLeadMicros) {}

    private StateValidator() {}

    /** Judges a claim. */
    public static ValidationResult validate(RestoredState claim, String instance, long now, Bounds bounds) {
        if (claim.instance() != null && !claim.instance().equals(instance)) {
            return new ValidationResult(claim, TrustLevel.DISCARDED, "it is that of " + claim.instance());
        }
        if (claim.damaged()) {
            return claim.kind() == StateKind.BANS
                    ? new ValidationResult(claim, TrustLevel.UNCONFIRMED, "it is damaged; what could be read stays out")
                    : new ValidationResult(claim, TrustLevel.DISCARDED, "it is damaged");
        }
        return claim.kind() == StateKind.BANS ? bans(claim, now, bounds) : list(claim, now, bounds);
    }

    private static ValidationResult bans(RestoredState claim, long now, Bounds bounds) {
        if (claim.source() == StateSource.PREVIOUS_PROCESS) {
            return new ValidationResult(claim, TrustLevel.TRUSTED, "it says so itself");
        }
        if (claim.writtenUntilMicros() > now + bounds.maxClockLeadMicros) {
            return new ValidationResult(
                    claim,
                    TrustLevel.UNCONFIRMED,
                    seconds(claim.writtenUntilMicros() - now) + " ahead of this clock; what is " + "out stays out");
        }
        if (claim.writtenUntilMicros() < now - bounds.unconfirmedAfterMicros) {
            return new ValidationResult(
                    claim,
                    TrustLevel.UNCONFIRMED,
                    "it ends " + seconds(now - claim.writtenUntilMicros()) + " before this start: "
                            + "either nobody was there, or it was put back; what is out stays out, "
                            + "calls since are not known");
        }
        return new ValidationResult(
                claim,
                TrustLevel.TRUSTED,
                "it ends " + seconds(Math.max(0, now - claim.writtenUntilMicros())) + " before this start");
    }

    private static ValidationResult list(RestoredState claim, long now, Bounds bounds) {
        if (claim.source() == StateSource.CONFIGURATION) {
            return new ValidationResult(
                    claim, TrustLevel.UNCONFIRMED, "it has no date; it serves until the first whole list");
        }
        if (claim.writtenUntilMicros() > now + bounds.maxClockLeadMicros) {
            return new ValidationResult(
                    claim, TrustLevel.DISCARDED, seconds(claim.writtenUntilMicros() - now) + " ahead of this clock");
        }
        if (claim.writtenUntilMicros() < now - bounds.maxListAgeMicros) {
            return new ValidationResult(
                    claim,
                    TrustLevel.DISCARDED,
                    seconds(now - claim.writtenUntilMicros()) + " old, over the " + seconds(bounds.maxListAgeMicros)
                            + " that may be");
        }
        return new ValidationResult(
                claim,
                TrustLevel.UNCONFIRMED,
                seconds(Math.max(0, now - claim.writtenUntilMicros())) + " old; it serves until the first whole list");
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.1f s", micros / MICROS);
    }
}
