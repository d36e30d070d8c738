package review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The store is silent for some seconds, just after a change of the configuration; a key is taken away afterwards. */
public final class SilentStore {
    private static final long APPLY_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long SILENT_MILLIS = 4_500;
    private static final long AFTER_CHANGE_MILLIS = 300;

    private SilentStore() {}

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
        try (Store store = new Store("127.0.0.1");
             Gateway first = new Gateway("vm-1", "127.0.45.1", folder);
             Gateway second = new Gateway("vm-2", "127.0.45.2", folder);
             Gateway third = new Gateway("vm-3", "127.0.45.3", folder)) {
            List<Gateway> gateways = List.of(first, second, third);
            store.put("config", "main", config(1, 800, "\"key1\",\"key2\"", ""));
            for (int number = 1; number <= 3; number++) {
                Replica replica = new Replica("i-shop" + number, "shop", "plain", "127.0.0.1", record);
                store.put("servers", replica.id, replica.entry("ready"));
            }
            for (Gateway gateway : gateways) gateway.start(store.address(), gateways, true);
            for (Gateway gateway : gateways) gateway.awaitReady();
            Thread.sleep(5_000);
            store.put("config", "main", config(2, 900, "\"key1\",\"key2\"", ""));
            record.add("store confirms version 2, with another time-out");
            Thread.sleep(AFTER_CHANGE_MILLIS);
            if (trouble) {
                record.add("the store falls silent");
                store.beSilent(SILENT_MILLIS);
                record.add("the store answers again");
            }
            Thread.sleep(CONTACT_MILLIS + 500);
            store.put("config", "main", config(3, 900, "\"key1\"", ",\"/new/\""));
            record.add("store confirms version 3, without key2 and with the route /new/");
            Thread.sleep(APPLY_MILLIS + 200);
            AtomicInteger stale = new AtomicInteger();
            AtomicInteger denied = new AtomicInteger();
            for (int number = 0; number < 60; number++) {
                Gateway gateway = gateways.get(number % gateways.size());
                boolean old = number / gateways.size() % 2 == 0;
                String id = String.format("%016x", 0x9d00L + number);
                record.add("client sends %s to %s, %s", id, gateway.name, old ? "with key2" : "on /new/ with key1");
                Caller.Answer answer = Caller.call(gateway.host, gateway.front, "GET", old ? "/order/1" : "/new/1",
                    new byte[0], 1_500, "X-Request-Id: " + id, "Authorization: Bearer " + (old ? "key2" : "key1"));
                record.add("client gets %s: %d %s", id, answer.status(), answer.body());
                if (old && answer.status() == 200) stale.incrementAndGet();
                if (!old && answer.status() == 404) denied.incrementAndGet();
                Thread.sleep(50);
            }
            record.add("result: %d ran with the key that was taken away, %d on the new route got 404", stale.get(),
                denied.get());
            System.out.println("ran with the dropped key " + stale + ", 404 on the new route " + denied);
            return stale.get() + denied.get() > 0 ? 1 : 0;
        }
    }

    private static String config(int version, int timeout, String keys, String prefixes) {
        StringBuilder routes = new StringBuilder();
        for (String prefix : ("\"/order/\"" + prefixes).split(",")) {
            routes.append(routes.length() == 0 ? "" : ",").append("{\"name\":").append(prefix)
                .append(",\"hostname\":\"shop.example\",\"pathPrefix\":").append(prefix)
                .append(",\"backend\":\"shop\",\"routeKind\":\"idempotent\",\"timeoutMs\":").append(timeout)
                .append(",\"sloMs\":300,\"maxAttempts\":2,\"priority\":2}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"shop\","
            + "\"healthPath\":\"/healthz\",\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","
            + "\"apiKeys\":[" + keys + "],\"billingUnit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":0,"
            + "\"burstSize\":0}]}";
    }
}
