package gatefront.engine;

import java.util.Arrays;

/**
 * What was served, by the numbers of its tenant and its class, since it was last taken. One thread. A cell for each
 * pair that there ever was: both are bounded where they get their numbers. A request costs three additions.
 */
public final class UsageMeter {
    /** Who is told. */
    public interface Taker {
        /** So many requests, of so many microseconds of servers' time and so many bytes. */
        void cell(int tenant, int requestClass, long requests, long work, long bytes);
    }

    private static final int FIGURES = 3;

    private long[][] byTenant = {};

    /** A request was served. */
    void served(int tenant, int requestClass, long work, long bytes) {
        if (tenant >= byTenant.length) {
            int known = byTenant.length;
            byTenant = Arrays.copyOf(byTenant, tenant + 1);
            Arrays.fill(byTenant, known, tenant + 1, new long[0]);
        }
        int at = FIGURES * requestClass;
        if (at >= byTenant[tenant].length) {
            byTenant[tenant] = Arrays.copyOf(byTenant[tenant], at + FIGURES);
        }
        long[] cells = byTenant[tenant];
        cells[at]++;
        cells[at + 1] += work;
        cells[at + 2] += bytes;
    }

    /** Tells each cell with use, and begins anew. */
    public void take(Taker taker) {
        for (int tenant = 0; tenant < byTenant.length; tenant++) {
            long[] cells = byTenant[tenant];
            for (int at = 0; at < cells.length; at += FIGURES) {
                if (cells[at] > 0) {
                    taker.cell(tenant, at / FIGURES, cells[at], cells[at + 1], cells[at + 2]);
                }
            }
            Arrays.fill(cells, 0);
        }
    }
}
