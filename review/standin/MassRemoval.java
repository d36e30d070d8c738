package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Four of 31 model replicas are taken away at once; three of them leave without reporting `draining`. */
public final class MassRemoval {
    private static final long DRAIN_MILLIS = 3_000;
    private static final int LEAVING = 4;
    /** Replicas that make tokens and stay. */
    private static final int STAYING = 7;
    private static final int READERS = 20;
    /** Of those that leave, these report `draining`; the entries of the others are removed. */
    private static final int REPORTING = 1;
    /** A replica that leaves ends when the runs of its time of draining have ended. */
    private static final long EXIT_MILLIS = DRAIN_MILLIS + 1_100;

    /** Requests come in waves; the replicas leave between two of them. */
    private static final int WAVES = 5;
    private static final int WAVE_REQUESTS = 24;
    private static final long WAVE_MILLIS = 4_000;
    private static final long GAP_MILLIS = 18;
    private static final int LEAVING_BEFORE_WAVE = 3;
    private static final long REMOVAL_LEAD_MILLIS = 2_350;

    private MassRemoval() {}

    private static final class Decoder extends Replica {
        final Map<String, Long> reached = new ConcurrentHashMap<>();
        private final Record record;

        Decoder(String id, String host, Record record) throws IOException {
            super(id, "writer", "decode", host, record);
            this.record = record;
        }

        @Override
        protected void reached(String request, String what) {
            super.reached(request, what);
            reached.put(request, record.now());
        }
    }

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
        try (Store store = new Store(host);
             Gateway first = new Gateway("vm-1", "127.0.41.1", folder);
             Gateway second = new Gateway("vm-2", "127.0.41.2", folder)) {
            List<Gateway> gateways = List.of(first, second);
            store.put("config", "main", CONFIG);
            List<Replica> prefill = new ArrayList<>();
            for (int number = 1; number <= READERS; number++) {
                prefill.add(new Replica("i-read" + number, "writer", "prefill", host, record));
            }
            prefill.forEach(it -> store.put("servers", it.id, it.entry("ready")));
            List<Decoder> old = new ArrayList<>();
            for (int number = 1; number <= LEAVING; number++) old.add(new Decoder("i-old" + number, host, record));
            old.forEach(it -> store.put("servers", it.id, it.entry("ready")));
            for (int number = 1; number <= STAYING; number++) {
                Decoder next = new Decoder("i-stay" + number, host, record);
                store.put("servers", next.id, next.entry("ready"));
            }
            for (Gateway gateway : gateways) gateway.start(store.address(), gateways, true);
            for (Gateway gateway : gateways) gateway.awaitReady();
            Thread.sleep(5_000);
            List<Decoder> silent = old.subList(REPORTING, LEAVING);
            AtomicInteger lost = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            Map<String, Long> sentAt = new ConcurrentHashMap<>();
            long removedAt = Long.MAX_VALUE;
            long began = record.now();
            for (int number = 0; number < WAVES * WAVE_REQUESTS; number++) {
                long at = began + number / WAVE_REQUESTS * WAVE_MILLIS + number % WAVE_REQUESTS * GAP_MILLIS;
                if (trouble && number == LEAVING_BEFORE_WAVE * WAVE_REQUESTS) {
                    sleepUntil(at - REMOVAL_LEAD_MILLIS, record);
                    removedAt = leave(store, old, silent, record);
                }
                sleepUntil(at, record);
                String id = String.format("%016x", 0x5a00L + number);
                Gateway gateway = gateways.get(number % 2);
                Thread caller = new Thread(() -> {
                    sentAt.put(id, record.now());
                    record.add("client sends %s to %s", id, gateway.name);
                    Caller.Answer answer = Caller.call(gateway.host, gateway.front, "POST", "/draft/1", new byte[500],
                        14_000, "X-Request-Id: " + id, "Authorization: Bearer key1", "X-Model: m",
                        "X-Token-Count: 40000,40", "X-Prompt-Prefix: " + id.substring(8) + ":40000");
                    record.add("client gets %s: %d, %d events, whole %s", id, answer.status(), answer.events(), answer.whole());
                    if (answer.status() == 200 && !answer.whole()) lost.incrementAndGet();
                });
                caller.start();
                callers.add(caller);
            }
            for (Thread caller : callers) caller.join();
            int late = 0;
            for (Decoder replica : silent) {
                for (Map.Entry<String, Long> entry : replica.reached.entrySet()) {
                    if (removedAt == Long.MAX_VALUE || entry.getValue() <= removedAt + DRAIN_MILLIS) continue;
                    late++;
                    record.add("LATE: %s reached %s %d ms after its removal; sent %d ms after it", entry.getKey(),
                        replica.id, entry.getValue() - removedAt, sentAt.get(entry.getKey()) - removedAt);
                }
            }
            record.add("result: %d late, %d lost", late, lost.get());
            System.out.println("late " + late + ", lost " + lost.get());
            return late > 0 || !trouble && lost.get() > 0 ? 1 : 0;
        }
    }

    private static void sleepUntil(long millis, Record record) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - record.now()));
    }

    /** Takes [old] away. Returns when the entries of [silent] were removed. */
    private static long leave(Store store, List<Decoder> old, List<Decoder> silent, Record record)
        throws IOException, InterruptedException {
        old.forEach(it -> it.leaving = true);
        for (Decoder replica : old.subList(0, REPORTING)) store.put("servers", replica.id, replica.entry("draining"));
        Thread.sleep(30);
        store.remove("servers", silent.stream().map(it -> it.id).toList());
        long removedAt = record.now();
        record.add("%d old replicas report draining, the entries of %d others are removed", REPORTING, silent.size());
        endLater(silent, record);
        return removedAt;
    }

    private static void endLater(List<Decoder> leaving, Record record) {
        Thread end = new Thread(() -> {
            try {
                Thread.sleep(EXIT_MILLIS);
                for (Decoder replica : leaving) replica.close();
                record.add("the replicas whose entries were removed end");
            } catch (IOException | InterruptedException e) {
                record.add("a replica could not end: %s", e.getMessage());
            }
        });
        end.setDaemon(true);
        end.start();
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"shop.example\","
        + "\"pathPrefix\":\"/draft/\",\"backend\":\"writer\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,"
        + "\"sloMs\":900,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300,\"priority\":1}],"
        + "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"runtime\":"
        + "{\"kvCapacity\":1000000,\"slots\":64}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
        + "\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burstSize\":0}]}";
}
