import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A sound replica, as PROTOCOL.md tells it: plain, prefill or decode. Its entry stands in the store. */
final class Replica extends Http.Server {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final AtomicLong IDS = new AtomicLong();

    /** Handles that no replica has taken yet. */
    private static final Map<String, Long> HANDLES = new ConcurrentHashMap<>();
    private static final long HANDLE_MILLIS = 500;

    final String id = "i-" + Long.toHexString(0x10000000L + System.nanoTime() % 0xfffffffL);
    final String service;
    final String stage;
    final String version;
    private final String zone;
    private final Store store;
    private final Ledger ledger;
    private final long born = System.currentTimeMillis();

    /** Milliseconds of work of a plain request, and between the events of a stream. */
    volatile long workMillis = 40;

    /** Prompt tokens that a prefill replica reads in a millisecond, one prompt after the other. */
    private static final double READ_PER_MILLI = 55.5556;
    private final Object reading = new Object();

    Replica(Store store, Ledger ledger, String address, String service, String stage, String version, String zone)
        throws IOException {
        super(address);
        this.store = store;
        this.ledger = ledger;
        this.service = service;
        this.stage = stage;
        this.version = version;
        this.zone = zone;
    }

    /** Starts to serve and writes its entry. */
    Replica enter() {
        start();
        write("ready");
        return this;
    }

    void write(String state) {
        ObjectNode spec = MAPPER.createObjectNode();
        spec.put("backend", service).put("addr", address).put("zone", zone).put("version", version);
        spec.put("slots", 64).put("state", state).put("coldLeftMs", 0).put("sequence", 0).put("born", born);
        if (!stage.isEmpty()) {
            spec.put("stage", stage);
        }
        store.put("servers", id, spec);
        ledger.add("replica " + id + " " + service + " " + stage + " " + version + " writes " + state);
    }

    @Override
    boolean answer(Http.Wire wire, Http.Message request) throws IOException {
        String expected = request.field("X-Expect-Replica");
        if (expected != null && !expected.equals(id)) {
            reply(wire, request, 421, Map.of("X-Replica-Id", id), "");
            return true;
        }
        String path = request.target();
        if (path.startsWith("/-/hold-take")) {
            reply(wire, request, 200, Map.of(), "{\"reserve\":\"h" + IDS.incrementAndGet() + "\",\"born\":" + born + "}");
        } else if (path.startsWith("/-/")) {
            reply(wire, request, 200, Map.of(), "{}");
        } else if ("prefill".equals(request.field("X-Stage"))) {
            prefill(wire, request);
        } else if (stage.equals("decode")) {
            return stream(wire, request);
        } else {
            plain(wire, request);
        }
        return true;
    }

    private void prefill(Http.Wire wire, Http.Message request) throws IOException {
        synchronized (reading) {
            pause((long) (tokens(request, 0) / READ_PER_MILLI));
        }
        String handle = "kv" + IDS.incrementAndGet();
        HANDLES.put(handle, System.currentTimeMillis());
        reply(wire, request, 200, Map.of(),
            "{\"kvHandle\":\"" + handle + "\",\"tokenCounts\":" + tokens(request, 0) + ",\"version\":1}");
    }

    private void plain(Http.Wire wire, Http.Message request) throws IOException {
        String name = request.field("X-Request-Id");
        ledger.ran(new Ledger.Run(name, id, version, request.field("X-Tenant"), cost(request), ledger.millis()));
        pause(workMillis);
        reply(wire, request, 200, Map.of("X-Server-Stamp", stamp()), "answer to " + name);
    }

    private boolean stream(Http.Wire wire, Http.Message request) throws IOException {
        String source = request.field("X-Kv-Source");
        if (source != null) {
            Long made = HANDLES.remove(source.substring(source.indexOf('/') + 1));
            if (made == null || System.currentTimeMillis() - made > HANDLE_MILLIS) {
                reply(wire, request, 503, Map.of("X-Not-Executed", "1"), "");
                return true;
            }
        }
        String name = request.field("X-Request-Id");
        String last = request.field("Last-Event-Id");
        ledger.ran(new Ledger.Run(name, id, version, request.field("X-Tenant"), cost(request), ledger.millis()));
        Map<String, String> fields = new TreeMap<>();
        fields.put("X-Request-Id", name);
        fields.put("X-Server-Stamp", stamp());
        fields.put("X-Weight-Versions", "1");
        fields.put("Content-Type", "text/event-stream");
        wire.send(Http.head("HTTP/1.1 200 OK", fields, "Transfer-Encoding: chunked"));
        int pieces = tokens(request, 1);
        for (int piece = last == null ? 1 : Integer.parseInt(last) + 1; piece <= pieces; piece++) {
            if (wire.peerClosed()) {
                ledger.add("run " + name + " at " + id + " is dropped before piece " + piece);
                return false;
            }
            wire.sendChunk("id: " + piece + "\ndata: " + service + " " + version + " " + piece + "\n\n");
            pause(workMillis);
        }
        wire.send("0\r\n\r\n");
        return true;
    }

    private void reply(Http.Wire wire, Http.Message request, int status, Map<String, String> more, String body)
        throws IOException {
        Map<String, String> fields = new TreeMap<>(more);
        String name = request.field("X-Request-Id");
        if (name != null) {
            fields.put("X-Request-Id", name);
        }
        fields.put("Content-Type", "application/json");
        wire.send("HTTP/1.1 " + status + " X", fields, body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private static int tokens(Http.Message request, int index) {
        String counts = request.field("X-Token-Count");
        return counts == null ? 0 : Integer.parseInt(counts.split(",")[index].trim());
    }

    private static int cost(Http.Message request) {
        return tokens(request, 0) + tokens(request, 1);
    }

    private static String stamp() {
        return "5." + Long.toHexString(IDS.incrementAndGet());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
