package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Phase;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the on-call page shows exactly the lines that the policy logs. */
class OnCallTest {
    private static final long SECOND = BalancerHarness.SECOND;

    /** Causes every logged change of state once and returns the lines, with their numbers replaced. */
    private static Set<String> printedLines() {
        BalancerHarness harness = new BalancerHarness(BalancerHarness.safeSettings())
                .fullList(BalancerHarness.server(1, 0), BalancerHarness.server(2, 0));
        for (int i = 0; i < 2; i++) {
            harness.balancer.probeOutcome(harness.now, 1, Outcome.TIMEOUT, SECOND, new double[0]);
        }
        harness.advance(SECOND);
        harness.balancer.probeOutcome(harness.now, 1, Outcome.OK, 1000, new double[0]);
        harness.advance(10 * SECOND);
        for (int i = 0; i < 40; i++) {
            long id = harness.request();
            harness.advance(20_000);
            if (!harness.sends(id).isEmpty()) {
                harness.endAttempt(id, 0, harness.lastServer(id) == 1 ? Outcome.ERROR : Outcome.OK, 20_000);
                if (harness.sends(id).size() > 1) {
                    harness.endAttempt(id, 1, Outcome.OK, 20_000);
                }
            }
            harness.advance(SECOND / 4);
        }
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(2, 0, Phase.DRAINING, 0));
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(2, 0, Phase.READY, 0));
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(2, 0, Phase.GONE, 0));
        harness.updateServers(ListKind.DELTA, BalancerHarness.server(3, 0, Phase.READY, harness.now));
        Set<String> lines = new TreeSet<>();
        for (String line : harness.logLines) {
            assertTrue(line.matches("server \\d+ .*"), line);
            lines.add(line.replaceFirst("server \\d+ ", "").replaceFirst("\\d+ of \\d+", "F of N"));
        }
        return lines;
    }

    @Test
    void thePageShowsEveryPrintedLineAndNoOther() throws IOException {
        String page = Files.readString(Path.of("docs/on-call.md"));
        Set<String> documentedLines = new TreeSet<>();
        Matcher code = Pattern.compile("`((?:active|passive|cold|draining|ready|gone)[^`]*)`")
                .matcher(page);
        while (code.find()) {
            documentedLines.add(code.group(1));
        }
        assertEquals(printedLines(), documentedLines);
    }
}
