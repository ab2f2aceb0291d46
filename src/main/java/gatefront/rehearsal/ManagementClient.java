package gatefront.rehearsal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A blocking client of an agent's management endpoint, with one connection per call. Not for use on an event loop. */
final class ManagementClient {
    private static final int TIMEOUT_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;

    private ManagementClient() {}

    /** A response of the management endpoint; status 0 if there was none, with the reason as its text. */
    record Response(int status, String text) {}

    /** Sends a request and returns the response, or one with status 0 and the reason if none arrived. */
    static Response call(InetSocketAddress address, String method, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            String head = method + " " + path + " HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String response =
                    new String(socket.getInputStream().readNBytes(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
            int body = response.indexOf("\r\n\r\n");
            if (body < 0 || !response.matches("(?s)HTTP/1\\.1 [1-5][0-9][0-9] .*")) {
                return new Response(0, "no whole answer");
            }
            return new Response(Integer.parseInt(response.substring(9, 12)), response.substring(body + 4));
        } catch (IOException e) {
            return new Response(0, String.valueOf(e.getMessage()));
        }
    }

    /** Parses the lines {@code name=value} of a response. */
    static Map<String, String> parseStats(String text) {
        Map<String, String> stats = new LinkedHashMap<>();
        text.lines()
                .map(line -> line.split("=", 2))
                .filter(field -> field.length == 2)
                .forEach(field -> stats.put(field[0], field[1]));
        return stats;
    }
}
