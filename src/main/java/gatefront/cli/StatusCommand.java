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

/** Prints the status page of a running agent: what it holds in memory, by purpose. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Print what a running agent holds in memory, by purpose; ADDRESS is the setting [memory] status.")
final class StatusCommand implements Callable<Integer> {
    /** The limit for connecting and for each read, in milliseconds. */
    private static final int TIMEOUT_MS = 5_000;

    @Parameters(paramLabel = "ADDRESS", description = "Address of the status page, for example 127.0.0.1:9191.")
    private String address;

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        InetSocketAddress socketAddress;
        try {
            socketAddress = Config.address(address);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    spec.commandLine(), e.getMessage() + "; expected an address such as 127.0.0.1:9191");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream()
                    .write(("GET /status" + (json ? ".json" : "")
                                    + " HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int headEnd = response.indexOf("\r\n\r\n");
            if (!response.startsWith("HTTP/1.1 200") || headEnd < 0) {
                throw new IOException("GET /status at " + address + " did not answer with the status page of an agent");
            }
            out.print(response.substring(headEnd + 4));
            out.flush();
            return 0;
        } catch (java.net.SocketException | java.net.SocketTimeoutException e) {
            throw new IOException("cannot read the status page at " + address + ": " + e.getMessage(), e);
        }
    }
}
