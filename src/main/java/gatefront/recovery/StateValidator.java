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
     * @param doubtAfter calls by hand that end so long before the start may not be all
     * @param listMost a list that is older serves nobody
     * @param ahead a time of day may be so much later than now: clocks of one machine that were set
     */
    public record Bounds(long doubtAfter, long listMost, long ahead) {}

    private StateValidator() {}

    /** Judges a claim. */
    public static ValidationResult judge(RestoredState claim, String instance, long now, Bounds bounds) {
        if (claim.instance() != null && !claim.instance().equals(instance)) {
            return new ValidationResult(claim, TrustLevel.DROPPED, "it is that of " + claim.instance());
        }
        if (claim.damaged()) {
            return claim.piece() == StateKind.BANS
                    ? new ValidationResult(claim, TrustLevel.DOUBTED, "it is damaged; what could be read stays out")
                    : new ValidationResult(claim, TrustLevel.DROPPED, "it is damaged");
        }
        return claim.piece() == StateKind.BANS ? bans(claim, now, bounds) : list(claim, now, bounds);
    }

    private static ValidationResult bans(RestoredState claim, long now, Bounds bounds) {
        if (claim.source() == StateSource.NEIGHBOUR) {
            return new ValidationResult(claim, TrustLevel.BELIEVED, "it says so itself");
        }
        if (claim.upTo() > now + bounds.ahead) {
            return new ValidationResult(
                    claim,
                    TrustLevel.DOUBTED,
                    seconds(claim.upTo() - now) + " ahead of this clock; what is " + "out stays out");
        }
        if (claim.upTo() < now - bounds.doubtAfter) {
            return new ValidationResult(
                    claim,
                    TrustLevel.DOUBTED,
                    "it ends " + seconds(now - claim.upTo()) + " before this start: "
                            + "either nobody was there, or it was put back; what is out stays out, "
                            + "calls since are not known");
        }
        return new ValidationResult(
                claim,
                TrustLevel.BELIEVED,
                "it ends " + seconds(Math.max(0, now - claim.upTo())) + " before this start");
    }

    private static ValidationResult list(RestoredState claim, long now, Bounds bounds) {
        if (claim.source() == StateSource.CONFIGURATION) {
            return new ValidationResult(
                    claim, TrustLevel.DOUBTED, "it has no date; it serves until the first whole list");
        }
        if (claim.upTo() > now + bounds.ahead) {
            return new ValidationResult(
                    claim, TrustLevel.DROPPED, seconds(claim.upTo() - now) + " ahead of this clock");
        }
        if (claim.upTo() < now - bounds.listMost) {
            return new ValidationResult(
                    claim,
                    TrustLevel.DROPPED,
                    seconds(now - claim.upTo()) + " old, over the " + seconds(bounds.listMost) + " that may be");
        }
        return new ValidationResult(
                claim,
                TrustLevel.DOUBTED,
                seconds(Math.max(0, now - claim.upTo())) + " old; it serves until the first whole list");
    }

    private static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.1f s", micros / MICROS);
    }
}
