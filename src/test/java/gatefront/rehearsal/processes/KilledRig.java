package gatefront.rehearsal.processes;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** A rig that starts one process and stops at a given step of that start, until it is killed; run by a test. */
public final class KilledRig {
    /** Printed when the step has been reached. */
    static final String REACHED = "reached";

    private KilledRig() {}

    /** Entry point; the argument is the step. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ProcessReaper.StartStep last = ProcessReaper.StartStep.valueOf(args[0]);
        ProcessReaper reaper = ProcessReaper.start(step -> {
            if (step == last) {
                System.out.println(REACHED);
                waitForKill();
            }
        });
        reaper.start(new ProcessBuilder("sleep", "600"));
    }

    private static void waitForKill() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
