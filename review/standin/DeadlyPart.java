package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of prompts crashes each replica that begins to write an answer on it; streams have neither a length nor chunks. */
public final class DeadlyPart {
    private static final int MAKERS = 7;
    private static final int READERS = 5;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long BACK_MILLIS = 3_000;
    private static final long CALM_MILLIS = 6_000;
    private static final long DEADLY_MILLIS = 22_000;
    private static final long SOUND_GAP_MILLIS = 60;
    private static final int DEADLY_EVERY = 20;
    private static final int NAMED = 5;
    private static final int ALLOWED = 3;
    private static final int EVENTS = 40;

    private final Record record;
    private final Store store;
    private final List<Long> crashes = new ArrayList<>();
    /** Sound requests whose answer was cut short. */
    private final AtomicInteger cut = new AtomicInteger();
    private volatile boolean ended;

    private DeadlyPart(Record record, Store store) {
        this.record = record;
        this.store = store;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1])); Store store = new Store("127.0.0.1")) {
            code = new DeadlyPart(record, store).run(Path.of(arguments[0]), trouble);
        } finally {
            System.exit(code);
        }
    }

    /** Runs replica [id], which is back some seconds after it has crashed. */
    private void keep(String id, Path folder) {
        int port = 0;
        boolean unframed = !"1".equals(System.getenv("FRAMED"));
        while (!ended) {
            try (ReplicaProcess process = new ReplicaProcess(id, folder, port, unframed)) {
                Thread closer = new Thread(process::close);
                Runtime.getRuntime().addShutdownHook(closer);
                port = process.port();
                store.put("servers", id, process.entry);
                process.awaitEnd();
                if (ended) return;
                synchronized (crashes) {
                    crashes.add(record.now());
                }
                record.add("%s crashes", id);
                Thread.sleep(BACK_MILLIS);
            } catch (IOException | InterruptedException | IllegalStateException e) {
                record.add("%s: %s", id, e.getMessage());
                return;
            }
        }
    }

    private int run(Path folder, boolean trouble) throws Exception {
        try (Gateway first = new Gateway("vm-1", "127.0.46.1", folder);
             Gateway second = new Gateway("vm-2", "127.0.46.2", folder)) {
            List<Gateway> gateways = List.of(first, second);
            store.put("config", "main", CONFIG);
            for (int number = 1; number <= READERS; number++) {
                Replica reader = new Replica("i-read" + number, "writer", "prefill", "127.0.0.1", record);
                store.put("servers", reader.id, reader.entry("ready"));
            }
            for (int number = 1; number <= MAKERS; number++) {
                String id = "i-make" + number;
                Thread keeper = new Thread(() -> keep(id, folder));
                keeper.setDaemon(true);
                keeper.start();
            }
            for (Gateway gateway : gateways) gateway.start(store.address(), gateways, true);
            for (Gateway gateway : gateways) gateway.awaitReady();
            Thread.sleep(5_000);
            AtomicInteger[] calm = {new AtomicInteger(), new AtomicInteger()};
            AtomicInteger[] late = {new AtomicInteger(), new AtomicInteger()};
            long began = record.now();
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; record.now() - began < CALM_MILLIS + DEADLY_MILLIS; number++) {
                boolean quiet = record.now() - began < CALM_MILLIS;
                boolean deadly = trouble && !quiet && number % DEADLY_EVERY == 0;
                AtomicInteger[] count = quiet ? calm : since(NAMED) > 2 * CONTACT_MILLIS ? late : null;
                Gateway gateway = gateways.get((number + number / DEADLY_EVERY) % 2);
                String id = String.format("%016x", 0xd000L + number);
                Thread caller = new Thread(() -> call(gateway, id, deadly, count));
                caller.start();
                callers.add(caller);
                Thread.sleep(SOUND_GAP_MILLIS);
            }
            for (Thread caller : callers) caller.join();
            ended = true;
            long known = crashes.size() < NAMED ? Long.MAX_VALUE : crashes.get(NAMED - 1) + CONTACT_MILLIS;
            long arrived = crashes.stream().filter(it -> it > known).count();
            String result = String.format("%d crashes, %d of them later than contactMs after the fifth; sound requests begun: "
                + "%d of %d before, %d of %d from 2 x contactMs after the fifth crash; %d sound ones cut short",
                crashes.size(), arrived, calm[0].get(), calm[1].get(), late[0].get(), late[1].get(), cut.get());
            record.add("result: %s", result);
            System.out.println(result);
            boolean lost = late[1].get() >= 20 && 2.0 * late[0].get() / late[1].get() < 1.0 * calm[0].get() / calm[1].get();
            return arrived > ALLOWED || lost ? 1 : 0;
        }
    }

    /** Milliseconds since crash number [count], or -1. */
    private long since(int count) {
        synchronized (crashes) {
            return crashes.size() < count ? -1 : record.now() - crashes.get(count - 1);
        }
    }

    private void call(Gateway gateway, String id, boolean deadly, AtomicInteger[] count) {
        record.add("client sends %s to %s%s", id, gateway.name, deadly ? ", deadly" : "");
        Caller.Answer answer = Caller.call(gateway.host, gateway.front, "POST", "/draft/1", prompt(id), 14_000,
            "X-Request-Id: " + id, "Authorization: Bearer key1", "X-Model: m", "X-Token-Count: 2000,40",
            "X-Prompt-Prefix: aaaa0001:200," + (deadly ? Replica.DEADLY : id.substring(10) + ":") + "300,"
                + id.substring(8) + ":1500");
        record.add("client gets %s: %d, ends as complete: %s", id, answer.status(), answer.whole());
        if (!deadly && answer.status() == 200 && answer.body().split("\n\n").length < EVENTS) cut.incrementAndGet();
        if (deadly || count == null) return;
        count[1].incrementAndGet();
        if (answer.status() == 200) count[0].incrementAndGet();
    }

    /** No two requests are alike. */
    private static byte[] prompt(String id) {
        return ("prompt of " + id + " ".repeat(500)).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"shop.example\","
        + "\"pathPrefix\":\"/draft/\",\"backend\":\"writer\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,"
        + "\"sloMs\":900,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":300,\"priority\":1}],"
        + "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"runtime\":"
        + "{\"kvCapacity\":1000000,\"slots\":64}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
        + "\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burstSize\":0}]}";
}
