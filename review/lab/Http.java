import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 over plain sockets, for the stand-ins of the review. */
final class Http {
    private Http() {}

    /** A message: its first line, its fields and its body. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One end of a connection. */
    static final class Wire implements AutoCloseable {
        final Socket socket;
        private final BufferedInputStream in;
        private final BufferedOutputStream out;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = new BufferedOutputStream(socket.getOutputStream());
        }

        static Wire connect(String address, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(parse(address), timeoutMillis);
            return new Wire(socket);
        }

        /** Reads a head; null if the peer closed before its first byte. */
        Message readHead() throws IOException {
            Message message = new Message();
            String line = readLine();
            if (line == null) {
                return null;
            }
            message.first = line;
            while (true) {
                line = readLine();
                if (line == null) {
                    throw new EOFException("closed inside a head");
                }
                if (line.isEmpty()) {
                    return message;
                }
                int colon = line.indexOf(':');
                message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
        }

        /** Reads a whole message. */
        Message read() throws IOException {
            Message message = readHead();
            if (message == null) {
                return null;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
                for (byte[] chunk = readChunk(); chunk != null; chunk = readChunk()) {
                    body.write(chunk);
                }
            } else {
                String length = message.field("Content-Length");
                body.write(readBytes(length == null ? 0 : Integer.parseInt(length)));
            }
            message.body = body.toByteArray();
            return message;
        }

        /** Reads the body with a length that follows [head]. */
        String readText(Message head) throws IOException {
            String length = head.field("Content-Length");
            byte[] bytes = readBytes(length == null ? 0 : Integer.parseInt(length));
            return new String(bytes, StandardCharsets.UTF_8);
        }

        /** Reads a chunk of a body; null at its end. */
        byte[] readChunk() throws IOException {
            String line = readLine();
            if (line == null) {
                throw new EOFException("closed inside a body");
            }
            int size = Integer.parseInt(line.trim().split(";")[0], 16);
            byte[] bytes = readBytes(size);
            readLine();
            return size == 0 ? null : bytes;
        }

        private byte[] readBytes(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("closed inside a body");
            }
            return bytes;
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            if (next < 0) {
                return null;
            }
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    line.write(next);
                }
                next = in.read();
            }
            if (next < 0) {
                throw new EOFException("closed inside a line");
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** Whether the peer has closed; to be asked only while it owes nothing. */
        boolean peerClosed() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                in.reset();
                return next < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                setTimeout(0);
            }
        }

        void setTimeout(int millis) {
            try {
                socket.setSoTimeout(millis);
            } catch (IOException e) {
                close();
            }
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.UTF_8));
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Sends a message with a length. */
        void send(String first, Map<String, String> fields, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head(first, fields, "Content-Length: " + body.length).getBytes(StandardCharsets.UTF_8));
            bytes.write(body);
            send(bytes.toByteArray());
        }

        void sendChunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            send(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    static String head(String first, Map<String, String> fields, String length) {
        StringBuilder text = new StringBuilder(first).append("\r\n");
        fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.append(length).append("\r\n\r\n").toString();
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static String query(String target, String name) {
        int mark = target.indexOf('?');
        if (mark < 0) {
            return null;
        }
        for (String part : target.substring(mark + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** A server with a thread for each connection. */
    abstract static class Server implements AutoCloseable {
        final String address;
        private final ServerSocket socket = new ServerSocket();
        private final Set<Wire> wires = ConcurrentHashMap.newKeySet();

        Server(String address) throws IOException {
            this.address = address;
            socket.setReuseAddress(true);
            socket.bind(parse(address), 512);
        }

        void start() {
            daemon("server " + address, this::accept);
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Wire wire = new Wire(socket.accept());
                    wires.add(wire);
                    daemon("connection " + address, () -> serve(wire));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Wire wire) {
            try (wire) {
                for (Message request = wire.read(); request != null; request = wire.read()) {
                    if (!answer(wire, request)) {
                        return;
                    }
                }
            } catch (IOException | RuntimeException e) {
                // The peer has left, or the connection is of no more use.
            } finally {
                wires.remove(wire);
            }
        }

        /** Answers [request]; false to close the connection. */
        abstract boolean answer(Wire wire, Message request) throws IOException;

        /** Ends like a process that is killed. */
        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
            List<Wire> open = new ArrayList<>(wires);
            open.forEach(Wire::close);
        }
    }

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name.toLowerCase(Locale.ROOT));
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
