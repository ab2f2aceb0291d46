package gatefront.engine;

import java.util.Arrays;

/**
 * Sums what was served by tenant index and class index since the last {@link #drain}. Not thread-safe. Each pair that
 * was ever used keeps a cell; both are bounded where indexes are assigned. Recording a request costs three additions.
 */
public final class UsageMeter {
    /** Receives the sums of a tenant and class. */
    public interface Visitor {
        /**
         * Reports the number of requests, the servers' time in microseconds and the bytes of request and response
         * bodies.
         */
        void visit(int tenant, int requestClass, long requests, long serverMicros, long bytes);
    }

    private static final int VALUES_PER_CLASS = 3;

    private long[][] byTenant = {};

    /** Records a served request. */
    void record(int tenant, int requestClass, long serverMicros, long bytes) {
        if (tenant >= byTenant.length) {
            int oldLength = byTenant.length;
            byTenant = Arrays.copyOf(byTenant, tenant + 1);
            Arrays.fill(byTenant, oldLength, tenant + 1, new long[0]);
        }
        int offset = VALUES_PER_CLASS * requestClass;
        if (offset >= byTenant[tenant].length) {
            byTenant[tenant] = Arrays.copyOf(byTenant[tenant], offset + VALUES_PER_CLASS);
        }
        long[] cells = byTenant[tenant];
        cells[offset]++;
        cells[offset + 1] += serverMicros;
        cells[offset + 2] += bytes;
    }

    /** Passes each cell with any requests to {@code visitor}, and resets all. */
    public void drain(Visitor visitor) {
        for (int tenant = 0; tenant < byTenant.length; tenant++) {
            long[] cells = byTenant[tenant];
            for (int offset = 0; offset < cells.length; offset += VALUES_PER_CLASS) {
                if (cells[offset] > 0) {
                    visitor.visit(
                            tenant, offset / VALUES_PER_CLASS, cells[offset], cells[offset + 1], cells[offset + 2]);
                }
            }
            Arrays.fill(cells, 0);
        }
    }
}
