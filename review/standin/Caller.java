package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stands in for a client: one request on a channel of its own. */
final class Caller {
    /** What came back: status 0 if nothing did; [whole] if the answer is complete. */
    record Answer(int status, boolean whole, int events, String body) {}

    private Caller() {}

    /** Sends [method] [path] with [body] and [headers] to [host]:[port] and reads the answer. */
    static Answer call(String host, int port, String method, String path, byte[] body, long millis, String... headers) {
        int status = 0;
        int events = 0;
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setSoTimeout((int) millis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n");
            for (String header : headers) head.append(header).append("\r\n");
            if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("X-Deadline-Ms: ").append(millis).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Http http = new Http(socket.getInputStream());
            Http.Head answer = http.head();
            if (answer == null) return new Answer(0, false, 0, "");
            status = answer.status();
            if (!"chunked".equalsIgnoreCase(answer.header("transfer-encoding"))) {
                byte[] bytes = http.body(answer);
                return new Answer(status, bytes != null, 0, bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8));
            }
            for (byte[] chunk = http.chunk(); chunk != null; chunk = http.chunk()) {
                if (chunk.length == 0) return new Answer(status, true, events, text.toString());
                text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                events++;
            }
        } catch (IOException e) {
            text.append(" (").append(e.getMessage()).append(')');
        }
        return new Answer(status, false, events, text.toString());
    }
}
