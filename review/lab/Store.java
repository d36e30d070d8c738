import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md tells it: lists, watches, conditional writes. It never fails. */
final class Store extends Http.Server {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;

    Store(String address) throws IOException {
        super(address);
    }

    /** Writes an object, as the operator or a replica does. */
    synchronized void put(String kind, String name, JsonNode spec) {
        ObjectNode held = objects(kind).get(name);
        if (held != null && held.path("spec").equals(spec)) {
            return;
        }
        revision++;
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("revision", revision);
        metadata.put("created", held == null ? revision : held.path("metadata").path("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        objects(kind).put(name, object);
        changed(kind, object, false);
    }

    /** Removes an object. */
    synchronized void remove(String kind, String name) {
        ObjectNode held = objects(kind).remove(name);
        if (held == null) {
            return;
        }
        revision++;
        ObjectNode gone = held.deepCopy();
        ((ObjectNode) gone.path("metadata")).put("revision", revision);
        changed(kind, gone, true);
    }

    private void changed(String kind, ObjectNode object, boolean deleted) {
        history.add(new Event(revision, kind, object, deleted));
        notifyAll();
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    @Override
    boolean answer(Http.Wire wire, Http.Message request) throws IOException {
        String target = request.target();
        String[] path = target.split("\\?")[0].split("/");
        String kind = path.length > 3 ? path[3] : "";
        String name = path.length > 4 ? path[4] : null;
        JsonNode body = request.body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(request.body);
        switch (request.method()) {
            case "GET" -> read(wire, target, kind, name);
            case "POST" -> create(wire, kind, body);
            case "PUT" -> replace(wire, kind, name, body);
            case "DELETE" -> delete(wire, kind, name);
            default -> reply(wire, 400, MAPPER.createObjectNode());
        }
        return true;
    }

    private void read(Http.Wire wire, String target, String kind, String name) throws IOException {
        String watch = Http.query(target, "watch");
        if (watch != null) {
            String wait = Http.query(target, "waitMs");
            reply(wire, 200, changes(kind, Long.parseLong(watch), wait == null ? 0 : Long.parseLong(wait)));
        } else if (name == null) {
            reply(wire, 200, list(kind, Http.query(target, "after")));
        } else {
            ObjectNode held = find(kind, name);
            reply(wire, held == null ? 404 : 200, held == null ? MAPPER.createObjectNode() : held);
        }
    }

    private synchronized ObjectNode find(String kind, String name) {
        return objects(kind).get(name);
    }

    private synchronized ObjectNode list(String kind, String after) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode items = page.putArray("items");
        objects(kind).forEach((name, object) -> {
            if (after == null || name.compareTo(after) > 0) {
                items.add(object);
            }
        });
        return page.put("hasMore", false).put("at", revision);
    }

    private synchronized ObjectNode changes(String kind, long since, long waitMillis) {
        long end = System.currentTimeMillis() + waitMillis;
        while (true) {
            ObjectNode page = MAPPER.createObjectNode();
            ArrayNode events = page.putArray("events");
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    ObjectNode node = events.addObject();
                    node.put("deleted", event.deleted);
                    node.set("object", event.object);
                }
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return page.put("at", revision);
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return page.put("at", revision);
            }
        }
    }

    private void create(Http.Wire wire, String kind, JsonNode body) throws IOException {
        String name = body.path("metadata").path("name").asText();
        ObjectNode held;
        synchronized (this) {
            held = find(kind, name);
            if (held == null) {
                put(kind, name, body.path("spec"));
            }
        }
        reply(wire, held == null ? 200 : 409, held == null ? find(kind, name) : held);
    }

    private void replace(Http.Wire wire, String kind, String name, JsonNode body) throws IOException {
        int status = 200;
        ObjectNode held;
        synchronized (this) {
            held = find(kind, name);
            JsonNode wanted = body.path("metadata").path("revision");
            if (held == null) {
                status = 404;
            } else if (!wanted.isMissingNode()
                && !Objects.equals(wanted.asLong(), held.path("metadata").path("revision").asLong())) {
                status = 409;
            } else {
                put(kind, name, body.path("spec"));
                held = find(kind, name);
            }
        }
        reply(wire, status, held == null ? MAPPER.createObjectNode() : held);
    }

    private void delete(Http.Wire wire, String kind, String name) throws IOException {
        boolean there = find(kind, name) != null;
        remove(kind, name);
        reply(wire, there ? 200 : 404, MAPPER.createObjectNode());
    }

    private void reply(Http.Wire wire, int status, JsonNode body) throws IOException {
        Map<String, String> fields = new TreeMap<>(Map.of("Content-Type", "application/json", "Store-Era", "1"));
        wire.send("HTTP/1.1 " + status + " OK", fields, MAPPER.writeValueAsBytes(body));
    }
}
