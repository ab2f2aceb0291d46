package gatefront.ledgerstore;

import gatefront.ledger.ExportSchedule;
import gatefront.ledger.LedgerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A stand-in for the receiver of exported entries. As its contract requires, it stores the entries of an instance in
 * the order of their numbers, accepts each number once, and responds with how many it has. With faults, it may lose a
 * request or a response, repeat an old response, refuse, or fall back to its last backup.
 */
final class ExportReceiver {
    private final Random random;
    private final List<LedgerEntry> received = new ArrayList<>();
    private long lastResponse;
    /** The number of entries in its last backup, which it never loses. */
    private int backedUp;

    int forgotten;
    int refused;

    ExportReceiver(long seed) {
        random = new Random(seed);
    }

    /** Returns the entries that it has. */
    List<LedgerEntry> received() {
        return received;
    }

    /** Returns the number of entries in its last backup. */
    int backedUp() {
        return backedUp;
    }

    /** Receives a batch; returns its response, or null if there is none. */
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
            return lastResponse; // an old response
        }
        if (batch.from() <= received.size()) {
            for (int i = (int) (received.size() - batch.from()); i < entries.size(); i++) {
                received.add(entries.get(i));
            }
        }
        lastResponse = received.size();
        if (fault == 3) {
            return null; // the response is lost
        }
        if (fault == 4 && received.size() > backedUp) {
            forgotten += received.size() - backedUp;
            received.subList(backedUp, received.size()).clear(); // it acknowledges the entries and loses them
        }
        if (random.nextInt(8) == 0) {
            backedUp = received.size();
        }
        return lastResponse;
    }
}
