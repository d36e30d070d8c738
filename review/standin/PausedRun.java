package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine is stopped as planned while sound replicas are silent for a moment in their streams. */
public final class PausedRun {
    private static final int REQUESTS = 70;
    private static final long GAP_MILLIS = 60;
    private static final int STOP_BEFORE = 40;
    /** So many requests before the stop, transfers to one replica become slow. */
    private static final int BUSY_LEAD = 5;
    /** The last sixth of the grace is excused. */
    private static final long JUDGED_MILLIS = Gateway.GRACE_MILLIS * 5 / 6;
    /** A sound replica may fall silent for a second or so. */
    private static final long PAUSE_MILLIS = 1_750;

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
            for (int number = 1; number <= 4; number++) {
                replicas.add(new Replica("i-read" + number, "writer", "prefill", host, record));
            }
            for (int number = 1; number <= 2; number++) {
                Replica maker = new Replica("i-make" + number, "writer", "decode", host, record);
                maker.pauseMillis = PAUSE_MILLIS;
                replicas.add(maker);
            }
            replicas.forEach(it -> store.put("servers", it.id, it.entry("ready")));
            gateway.start(store.address(), List.of(gateway), true);
            gateway.awaitReady();
            Thread.sleep(5_000);
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger before = new AtomicInteger();
            long[] stoppedAt = {Long.MAX_VALUE};
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                if (number == STOP_BEFORE - BUSY_LEAD) {
                    replicas.get(replicas.size() - 1).fetchesNothing = true;
                    record.add("transfers to %s would wait for over two seconds", replicas.get(replicas.size() - 1).id);
                }
                if (trouble && number == STOP_BEFORE) {
                    stoppedAt[0] = record.now();
                    record.add("SIGTERM to %s", gateway.name);
                    gateway.signal("TERM");
                }
                String id = String.format("%016x", 0xe100L + number);
                Thread caller = new Thread(() -> {
                    record.add("client sends %s", id);
                    Caller.Answer answer = Caller.call(gateway.host, gateway.front, "POST", "/draft/1",
                        ("prompt of " + id).getBytes(), 14_000, "X-Request-Id: " + id, "Authorization: Bearer key1",
                        "X-Model: m", "X-Token-Count: 2000,40", "X-Prompt-Prefix: " + id.substring(8) + ":2000");
                    long after = record.now() - stoppedAt[0];
                    boolean broken = answer.status() == 200 && !answer.whole();
                    boolean judged = broken && after > 0 && after < JUDGED_MILLIS;
                    record.add("%sclient gets %s: %d, %d events, whole %s", judged ? "LOST: " : "", id, answer.status(),
                        answer.events(), answer.whole());
                    if (judged) lost.incrementAndGet();
                    if (broken && !judged) before.incrementAndGet();
                });
                caller.start();
                callers.add(caller);
                Thread.sleep(GAP_MILLIS);
            }
            for (Thread caller : callers) caller.join();
            String result = String.format("%d begun answers broken off within the planned stop, %d outside it", lost.get(),
                before.get());
            record.add("result: %s", result);
            System.out.println(result);
            return lost.get() > 0 ? 1 : 0;
        }
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"hostname\":\"shop.example\","
        + "\"pathPrefix\":\"/draft/\",\"backend\":\"writer\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,"
        + "\"sloMs\":900,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":300,\"priority\":1}],"
        + "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"runtime\":"
        + "{\"kvCapacity\":1000000,\"slots\":64}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
        + "\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burstSize\":0}]}";
}
