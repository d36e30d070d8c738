import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** The path of clients to one machine: passes bytes on, and loses all of them while it is dark. */
final class Relay implements AutoCloseable {
    final String address;
    private final String target;
    private final ServerSocket socket = new ServerSocket();
    private volatile boolean dark;

    Relay(String address, String target) throws IOException {
        this.address = address;
        this.target = target;
        socket.setReuseAddress(true);
        socket.bind(Http.parse(address), 512);
        Http.daemon("relay", this::accept);
    }

    /** From now on nothing passes, as if the machine had no power: neither bytes nor the ends of connections. */
    void goDark() {
        dark = true;
    }

    /** New connections pass again; those from before stay silent. */
    void light() {
        dark = false;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                if (dark) {
                    continue;
                }
                Socket server = new Socket();
                server.setTcpNoDelay(true);
                client.setTcpNoDelay(true);
                server.connect(Http.parse(target), 1_000);
                Http.daemon("up", () -> pump(client, server));
                Http.daemon("down", () -> pump(server, client));
            } catch (IOException e) {
                // A refused connection is closed below by the garbage collector of sockets; the client times out.
            }
        }
    }

    private void pump(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16_384];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (dark) {
                    return;
                }
                out.write(bytes, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // Handled like an end below.
        }
        if (dark) {
            return;
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
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
