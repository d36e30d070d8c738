package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stands in for the platform's store: lists, watches and writes with a condition, all linearizable. */
final class Store implements AutoCloseable {
    private record Change(String kind, long revision, ObjectNode object, boolean deleted) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;
    /** While this is set, calls are read and never answered; those that wait are not answered either. */
    private volatile boolean silent;
    private volatile int outages;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 100);
        server.createContext("/-/objects/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes object [name] with the JSON text [spec]. */
    synchronized ObjectNode put(String kind, String name, String spec) {
        try {
            return put(kind, name, mapper.readTree(spec));
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        ObjectNode object = mapper.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", ++revision);
        object.set("spec", spec);
        objects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        changes.add(new Change(kind, revision, object, false));
        notifyAll();
        return object;
    }

    /** Removes the objects [names] at once. */
    synchronized void remove(String kind, List<String> names) {
        for (String name : names) {
            ObjectNode object = objects.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
            if (object != null) changes.add(new Change(kind, ++revision, object, true));
        }
        notifyAll();
    }

    /** Goes silent for [millis]: channels stay open, but what was asked on them until the end gets no answer. */
    void beSilent(long millis) throws InterruptedException {
        synchronized (this) {
            outages++;
            silent = true;
        }
        Thread.sleep(millis);
        silent = false;
    }

    private void handle(HttpExchange exchange) {
        boolean asked = silent;
        int outagesBefore = outages;
        try (exchange) {
            String[] path = exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/");
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String part : (text == null ? "" : text).split("&")) {
                query.put(part.replaceAll("=.*", ""), part.replaceAll("^[^=]*=?", ""));
            }
            byte[] sent = exchange.getRequestBody().readAllBytes();
            ObjectNode answer = mapper.createObjectNode();
            int status = answer(exchange.getRequestMethod(), path, query, sent, answer);
            // A channel on which a response is lost returns nothing further.
            if (asked || silent || outages != outagesBefore) Thread.sleep(Long.MAX_VALUE);
            byte[] bytes = mapper.writeValueAsBytes(answer);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int answer(
        String method, String[] path, Map<String, String> query, byte[] sent, ObjectNode answer
    ) throws IOException, InterruptedException {
        TreeMap<String, ObjectNode> held = objects.computeIfAbsent(path[0], key -> new TreeMap<>());
        switch (method) {
            case "POST":
            case "PUT":
                JsonNode object = mapper.readTree(sent);
                String name = object.path("metadata").path("name").asText();
                JsonNode wanted = object.path("metadata").path("revision");
                ObjectNode now = held.get(name);
                boolean stale = !wanted.isMissingNode() && now != null
                    && wanted.asLong() != now.path("metadata").path("revision").asLong();
                if (now != null && (method.equals("POST") || stale)) {
                    answer.setAll(now);
                    return 409;
                }
                answer.setAll(put(path[0], name, object.path("spec")));
                return 200;
            case "DELETE":
                remove(path[0], List.of(path[1]));
                return 200;
            default:
                break;
        }
        if (path.length > 1) {
            ObjectNode found = held.get(path[1]);
            if (found != null) answer.setAll(found);
            return found == null ? 404 : 200;
        }
        if (query.containsKey("watch")) {
            watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")), answer);
        } else {
            ArrayNode items = answer.put("hasMore", false).put("at", revision).putArray("items");
            held.values().forEach(items::add);
        }
        return 200;
    }

    private void watch(String kind, long since, long millis, ObjectNode answer) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (changes.stream().noneMatch(it -> it.kind.equals(kind) && it.revision > since)) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        ArrayNode events = answer.put("at", revision).putArray("events");
        for (Change change : changes) {
            if (change.kind.equals(kind) && change.revision > since) {
                events.addObject().put("deleted", change.deleted).set("object", change.object);
            }
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
