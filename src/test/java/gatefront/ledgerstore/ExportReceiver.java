package gatefront.ledgerstore;

import gatefront.ledger.ExportSchedule;
import gatefront.ledger.LedgerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The stand-in that entries are exported to, as its contract says: it keeps the entries of an instance in the order of
 * their numbers, takes each number once, and answers how many it has. What it may do besides: lose a request or an
 * answer, answer twice or with an old answer, refuse, and go back to an older copy of itself.
 */
final class ExportReceiver {
    private final Random random;
    private final List<LedgerEntry> received = new ArrayList<>();
    private long lastAnswer;
    /** How many it will never forget: those of its last copy. */
    private int backedUp;

    int forgotten;
    int refused;

    ExportReceiver(long seed) {
        random = new Random(seed);
    }

    /** What it has. */
    List<LedgerEntry> received() {
        return received;
    }

    /** How many of them stand in its copy. */
    int backedUp() {
        return backedUp;
    }

    /** It takes a batch; returns what answer comes, or none. */
    Long receive(ExportSchedule.Batch batch, List<LedgerEntry> entries, boolean faults) {
        int fault = faults ? random.nextInt(12) : 99;
        if (fault == 0) {
            return null; // the request is lost
        }
        if (fault == 1) {
            refused++;
            return null;
        }
        if (fault == 2) {
            return lastAnswer; // an answer of before
        }
        if (batch.from() <= received.size()) {
            for (int i = (int) (received.size() - batch.from()); i < entries.size(); i++) {
                received.add(entries.get(i));
            }
        }
        lastAnswer = received.size();
        if (fault == 3) {
            return null; // the answer is lost
        }
        if (fault == 4 && received.size() > backedUp) {
            forgotten += received.size() - backedUp;
            received.subList(backedUp, received.size()).clear(); // it confirms and forgets
        }
        if (random.nextInt(8) == 0) {
            backedUp = received.size();
        }
        return lastAnswer;
    }
}
