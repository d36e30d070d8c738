package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Sound replicas fall silent for a while in their streams; the replica that the router prepares instead fails. */
public final class PausedRun {
    private static final int REQUESTS = 120;
    private static final int ALLOWED = 3;
    /** A sound replica may fall silent for a second or so. */
    private static final long PAUSE_MILLIS = 1_750;
    /** Of twenty runs, as many fail at one replica. */
    private static final int FAILING = 9;

    private PausedRun() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            code = run(Path.of(arguments[0]), record, trouble);
        } finally {
            System.exit(code);
        }
    }

    private static int run(Path folder, Record record, boolean trouble) throws Exception {
        String host = "127.0.0.1";
        try (Store store = new Store(host); Gateway gateway = new Gateway("vm-1", "127.0.47.1", folder)) {
            store.put("config", "main", CONFIG);
            List<Replica> replicas = new ArrayList<>();
            for (int number = 1; number <= 2; number++) {
                replicas.add(new Replica("i-read" + number, "writer", "prefill", host, record));
                replicas.add(new Replica("i-shop" + number, "shop", "plain", host, record));
                Replica maker = new Replica("i-make" + number, "writer", "decode", host, record);
                maker.pauseMillis = PAUSE_MILLIS;
                replicas.add(maker);
            }
            Replica failing = new Replica("i-fail", "writer", "decode", host, record);
            failing.pauseMillis = PAUSE_MILLIS;
            if (trouble) failing.failing = FAILING;
            replicas.add(failing);
            replicas.forEach(it -> store.put("servers", it.id, it.entry("ready")));
            gateway.start(store.address(), List.of(gateway), true);
            gateway.awaitReady();
            Thread.sleep(5_000);
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger closed = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                String id = String.format("%016x", 0xe100L + number);
                Thread caller = new Thread(() -> {
                    String end = onKeptChannel(gateway, id);
                    record.add("client gets %s: %s", id, end);
                    (end.endsWith("whole") ? whole : closed).incrementAndGet();
                });
                caller.start();
                callers.add(caller);
                Thread.sleep(70);
            }
            for (Thread caller : callers) caller.join();
            record.add("result: %d whole, %d closed without a whole answer", whole.get(), closed.get());
            System.out.println("whole " + whole + ", closed without a whole answer " + closed);
            return closed.get() > ALLOWED ? 1 : 0;
        }
    }

    /** Sends a plain request and then a stream on the same channel; returns how the second one ended. */
    private static String onKeptChannel(Gateway gateway, String id) {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(14_000);
            socket.connect(new InetSocketAddress(gateway.host, gateway.front), 1_000);
            Http http = new Http(socket.getInputStream());
            send(socket, "/page/1", "f" + id.substring(1));
            http.body(http.head());
            send(socket, "/draft/1", id);
            Http.Head head = http.head();
            if (head == null) return "nothing";
            if (!"chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
                return head.status() + (http.body(head) == null ? " cut" : " whole");
            }
            int events = 0;
            for (byte[] chunk = http.chunk(); chunk != null; chunk = http.chunk()) {
                if (chunk.length == 0) return head.status() + " " + events + " events, whole";
                events++;
            }
            return head.status() + " " + events + " events, channel closed";
        } catch (IOException e) {
            return String.valueOf(e.getMessage());
        }
    }

    private static void send(Socket socket, String path, String id) throws IOException {
        String body = "prompt of " + id;
        socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 14000\r\nX-Model: m\r\nX-Token-Count: 2000,40"
            + "\r\nX-Prompt-Prefix: " + id.substring(8) + ":2000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"shop.example\","
        + "\"pathPrefix\":\"/draft/\",\"backend\":\"writer\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,"
        + "\"sloMs\":900,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":300,\"priority\":1},"
        + "{\"name\":\"page\",\"hostname\":\"shop.example\",\"pathPrefix\":\"/page/\",\"backend\":\"shop\","
        + "\"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"maxAttempts\":2,\"priority\":2}],"
        + "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"runtime\":"
        + "{\"kvCapacity\":1000000,\"slots\":64}},{\"name\":\"shop\",\"healthPath\":\"/healthz\",\"maxConns\":110}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
        + "\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burstSize\":0}]}";
}
