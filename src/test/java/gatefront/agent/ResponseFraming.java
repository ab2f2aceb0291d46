package gatefront.agent;

import java.io.IOException;
import java.net.Socket;

/** How a server delimits the body of a response, and writes it in parts. */
enum ResponseFraming {
    LENGTH,
    CHUNKED,
    UNTIL_CLOSE;

    /** Writes the head of a response with status 200. */
    void writeHead(Socket socket, int bodyBytes) throws IOException {
        ScriptedPeer.write(
                socket,
                "HTTP/1.1 200 OK\r\n"
                        + switch (this) {
                            case LENGTH -> "Content-Length: " + bodyBytes + "\r\n\r\n";
                            case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                            case UNTIL_CLOSE -> "Connection: close\r\n\r\n";
                        });
    }

    /** Writes a part of the body; an empty one writes nothing. */
    void writePart(Socket socket, int bytes) throws IOException {
        if (bytes > 0) {
            String part = "x".repeat(bytes);
            ScriptedPeer.write(socket, this == CHUNKED ? Integer.toHexString(bytes) + "\r\n" + part + "\r\n" : part);
        }
    }

    /** Writes the end of the body. */
    void writeEnd(Socket socket) throws IOException {
        if (this == CHUNKED) {
            ScriptedPeer.write(socket, "0\r\n\r\n");
        } else if (this == UNTIL_CLOSE) {
            socket.close();
        }
    }
}
