package gatefront.cli;

import gatefront.rehearsal.Demo;
import gatefront.rehearsal.RealRehearsal;
import gatefront.rehearsal.plan.PlanReader;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs an agent with stand-in nodos on loopback until the process is interrupted. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Start an agent with stand-in nodos on loopback and print requests to try; Ctrl-C stops it.")
final class DemoCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        Demo demo = new Demo(PlanReader.builtIn("demo"), RealRehearsal.ownCommand(), line -> {
            out.println("agent: " + line);
            out.flush();
        });
        Runtime.getRuntime().addShutdownHook(new Thread(demo::close));
        String address = demo.address().getAddress().getHostAddress() + ":"
                + demo.address().getPort();
        out.println("the agent listens on " + address + " with four nodos behind it; Ctrl-C stops them all. Try:");
        out.println("  curl -i -H 'Request-Id: '$RANDOM -H 'Request-Class: consulta-saldo' "
                + "-H 'Request-Timeout-Ms: 2000' http://" + address + "/consulta-saldo");
        out.println("  curl -i -X POST -d 100 -H 'Request-Id: '$RANDOM -H 'Request-Class: pago-recibo' "
                + "-H 'Idempotency-Key: '$RANDOM -H 'Request-Timeout-Ms: 2000' http://" + address + "/pago-recibo");
        out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
