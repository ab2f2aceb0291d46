package gatefront.rehearsal;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** Assigns loopback addresses to machines: 127.(base + group).x.y. */
final class LoopbackAddresses {
    /** Number of groups of addresses that one rehearsal uses at most. */
    private static final int GROUPS = 16;

    private final int base;

    private LoopbackAddresses(int base) {
        this.base = base;
    }

    /** Returns the addresses of a virtual network, which cannot collide with others. */
    static LoopbackAddresses forVirtualNetwork() {
        return new LoopbackAddresses(0);
    }

    /** Returns addresses that depend on the process id, so that two rehearsals on one machine rarely collide. */
    static LoopbackAddresses forThisProcess() {
        return new LoopbackAddresses(
                GROUPS * (1 + (int) (ProcessHandle.current().pid() % 14)));
    }

    InetAddress of(int group, int number) {
        try {
            return InetAddress.getByAddress(
                    new byte[] {127, (byte) (base + group), (byte) (number / 250), (byte) (number % 250 + 1)});
        } catch (UnknownHostException e) {
            throw new AssertionError(e); // an address of four bytes is always valid
        }
    }
}
