package gatefront.cli;

import gatefront.config.Config;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What a running agent holds, by purpose. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Print what a running agent holds, by purpose; ADDRESS is that of [memory] status.")
final class StatusCommand implements Callable<Integer> {
    private static final int PATIENCE_MS = 5_000;

    @Parameters(paramLabel = "ADDRESS", description = "as in 127.0.0.1:9191")
    private String address;

    @Option(names = "--json", description = "As JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        InetSocketAddress at;
        try {
            at = Config.address(address);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage() + "; as in 127.0.0.1:9191");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (Socket socket = new Socket()) {
            socket.connect(at, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream()
                    .write(("GET /status" + (json ? ".json" : "")
                                    + " HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int body = answer.indexOf("\r\n\r\n");
            if (!answer.startsWith("HTTP/1.1 200") || body < 0) {
                throw new IOException(address + " is no status page of an agent");
            }
            out.print(answer.substring(body + 4));
            out.flush();
            return 0;
        } catch (java.net.SocketException | java.net.SocketTimeoutException e) {
            throw new IOException("no status page at " + address + ": " + e.getMessage(), e);
        }
    }
}
