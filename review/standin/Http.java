package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from one connection. */
final class Http {
    /** First line and headers of a message; names of headers in lower case. */
    record Head(String first, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private final InputStream in;

    Http(InputStream in) {
        this.in = new BufferedInputStream(in);
    }

    /** The next head; null if the connection ends before it. */
    Head head() throws IOException {
        String first = line();
        if (first == null) return null;
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(); line != null; line = line()) {
            if (line.isEmpty()) return new Head(first, headers);
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return null;
    }

    /** The body after [head]; null if the connection ends before the body does. */
    byte[] body(Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            while (true) {
                byte[] chunk = chunk();
                if (chunk == null) return null;
                if (chunk.length == 0) return body.toByteArray();
                body.write(chunk);
            }
        }
        String length = head.header("content-length");
        byte[] bytes = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return length == null || bytes.length == Integer.parseInt(length) ? bytes : null;
    }

    /** The next chunk, empty at the end of the body; null if the connection ends before. */
    byte[] chunk() throws IOException {
        String size = line();
        if (size == null) return null;
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        return bytes.length < length || line() == null ? null : bytes;
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
        return null;
    }
}
