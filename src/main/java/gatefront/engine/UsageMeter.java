package gatefront.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums what was served by tenant and class since the last {@link #drain}. They are kept by name, as a reload may give
 * their indexes to others. Not thread-safe. Holds a cell for each pair that was used since then, of those that the
 * settings in that time name.
 */
public final class UsageMeter {
    private static final double MILLIONTHS_PER_UNIT = 1e6;

    /** Receives the sums of a tenant and class. */
    public interface Visitor {
        /**
         * Reports the number of requests, their worth in millionths, the servers' time in microseconds and the bytes of
         * request and response bodies.
         */
        void visit(
                String tenant, String requestClass, long requests, long worthMillionths, long serverMicros, long bytes);
    }

    private record Cell(String tenant, String requestClass) {}

    private static final class Sums {
        long requests;
        long worthMillionths;
        long serverMicros;
        long bytes;
    }

    private final Map<Cell, Sums> sumsByCell = new HashMap<>();

    /** Records a served request at the worth that its class had when it began. */
    void record(ClientRequest request, long serverMicros, long bytes) {
        Sums sums = sumsByCell.computeIfAbsent(new Cell(request.tenantName(), request.className()), cell -> new Sums());
        sums.requests++;
        sums.worthMillionths +=
                Math.round(MILLIONTHS_PER_UNIT * request.classSettings().worth());
        sums.serverMicros += serverMicros;
        sums.bytes += bytes;
    }

    /** Passes each cell to {@code visitor}, and forgets it. */
    public void drain(Visitor visitor) {
        sumsByCell.forEach((cell, sums) -> visitor.visit(
                cell.tenant, cell.requestClass, sums.requests, sums.worthMillionths, sums.serverMicros, sums.bytes));
        sumsByCell.clear();
    }
}
