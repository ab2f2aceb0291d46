package gatefront.engine;

import java.util.Arrays;

/**
 * What was served, by the numbers of its tenant and its class, since it was last taken. One thread. A cell for each
 * pair that there ever was: both are bounded where they get their numbers. A request costs three additions.
 */
public final class UsageMeter {
    /** Who is told. */
    public interface Visitor {
        /** So many requests, of so many microseconds of servers' time and so many bytes. */
        void visit(int tenant, int requestClass, long requests, long serverMicros, long bytes);
    }

    private static final int VALUES_PER_CLASS = 3;

    private long[][] byTenant = {};

    /** A request was served. */
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

    /** Tells each cell with use, and begins anew. */
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
