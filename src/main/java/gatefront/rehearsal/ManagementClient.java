package gatefront.rehearsal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Staff at an agent's door: one call a connection, which blocks; not to be used on a loop. */
final class ManagementClient {
    private static final int TIMEOUT_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;

    private ManagementClient() {}

    /** What a door has answered: its status, and the text. */
    record Response(int status, String text) {}

    /** Makes a call and gives the answer; status 0 with the reason where none came. */
    static Response call(InetSocketAddress door, String method, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(door, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            String head = method + " " + path + " HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readNBytes(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
            int body = answer.indexOf("\r\n\r\n");
            if (body < 0 || !answer.matches("(?s)HTTP/1\\.1 [1-5][0-9][0-9] .*")) {
                return new Response(0, "no whole answer");
            }
            return new Response(Integer.parseInt(answer.substring(9, 12)), answer.substring(body + 4));
        } catch (IOException e) {
            return new Response(0, String.valueOf(e.getMessage()));
        }
    }

    /** The lines {@code name=value} of an answer. */
    static Map<String, String> parseStats(String text) {
        Map<String, String> figures = new LinkedHashMap<>();
        text.lines()
                .map(each -> each.split("=", 2))
                .filter(each -> each.length == 2)
                .forEach(each -> figures.put(each[0], each[1]));
        return figures;
    }
}
