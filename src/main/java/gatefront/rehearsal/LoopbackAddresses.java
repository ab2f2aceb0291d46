package gatefront.rehearsal;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** The machines' addresses, all of them loopback ones: 127.(BASE + GROUP).x.y. */
final class LoopbackAddresses {
    private static final int GROUPS = 16;

    private final int base;

    private LoopbackAddresses(int base) {
        this.base = base;
    }

    /** Those of a network of one's own. */
    static LoopbackAddresses forVirtualNetwork() {
        return new LoopbackAddresses(0);
    }

    /** Those of this process: two that rehearse on one machine should not meet. */
    static LoopbackAddresses forThisProcess() {
        return new LoopbackAddresses(
                GROUPS * (1 + (int) (ProcessHandle.current().pid() % 14)));
    }

    InetAddress of(int group, int number) {
        try {
            return InetAddress.getByAddress(
                    new byte[] {127, (byte) (base + group), (byte) (number / 250), (byte) (number % 250 + 1)});
        } catch (UnknownHostException e) {
            throw new AssertionError(e); // four bytes are always an address
        }
    }
}
