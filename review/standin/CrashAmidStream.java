package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica process is killed while it sends streams that have neither a length nor chunks. */
public final class CrashAmidStream {
    private static final int REPLICAS = 3;
    private static final int EVENTS = 40;
    private static final int REQUESTS = 80;

    private CrashAmidStream() {}

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
        List<ReplicaProcess> replicas = new ArrayList<>();
        try (Store store = new Store(host); Gateway gateway = new Gateway("vm-1", "127.0.43.1", folder)) {
            store.put("config", "main", CONFIG);
            for (int number = 1; number <= REPLICAS; number++) {
                Replica reader = new Replica("i-read" + number, "writer", "prefill", host, record);
                store.put("servers", reader.id, reader.entry("ready"));
                ReplicaProcess maker = new ReplicaProcess("i-make" + number, folder);
                replicas.add(maker);
                store.put("servers", maker.id, maker.entry);
            }
            gateway.start(store.address(), List.of(gateway), true);
            gateway.awaitReady();
            Thread.sleep(5_000);
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger broken = new AtomicInteger();
            AtomicInteger wrong = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                String id = String.format("%016x", 0x7b00L + number);
                String path = number % 2 == 0 ? "/draft/1" : "/once/1";
                Thread caller = new Thread(() -> {
                    record.add("client sends %s %s", path, id);
                    Caller.Answer answer = Caller.call(gateway.host, gateway.front, "POST", path, new byte[500], 14_000,
                        "X-Request-Id: " + id, "Authorization: Bearer key1", "X-Model: m", "X-Token-Count: 2000,40",
                        "X-Prompt-Prefix: " + id.substring(8) + ":2000");
                    int events = answer.body().split("\n\n").length;
                    boolean success = answer.status() == 200 && answer.whole();
                    boolean cut = success && events != EVENTS;
                    record.add("%sclient gets %s: %d, %d of %d events, ends as complete: %s", cut ? "WRONG: " : "", id,
                        answer.status(), events, EVENTS, answer.whole());
                    (cut ? wrong : success ? whole : broken).incrementAndGet();
                });
                caller.start();
                callers.add(caller);
                Thread.sleep(50);
                if (trouble && number == REQUESTS / 2) {
                    record.add("replica %s is killed", replicas.get(0).id);
                    replicas.get(0).close();
                }
            }
            for (Thread caller : callers) caller.join();
            record.add("result: %d whole, %d failed or broke off, %d cut short and complete", whole.get(), broken.get(),
                wrong.get());
            System.out.println("whole " + whole + ", failed or broke off " + broken + ", cut short and complete " + wrong);
            return wrong.get() > 0 || !trouble && broken.get() > 0 ? 1 : 0;
        } finally {
            replicas.forEach(ReplicaProcess::close);
        }
    }

    private static String route(String name, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"shop.example\",\"pathPrefix\":\"/" + name
            + "/\",\"backend\":\"writer\",\"routeKind\":\"streaming\",\"timeoutMs\":14000,\"sloMs\":900,"
            + "\"maxAttempts\":" + (resumable ? 2 : 1) + ",\"sticky\":true,\"resumable\":" + resumable
            + ",\"gapTargetMs\":300,\"priority\":1}";
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("draft", true) + "," + route("once", false)
        + "],\"services\":[{\"name\":\"writer\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"runtime\":"
        + "{\"kvCapacity\":1000000,\"slots\":64}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],"
        + "\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,\"burstSize\":0}]}";
}
