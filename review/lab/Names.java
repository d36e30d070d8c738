import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A version of the configuration adds two tenants whose names differ in letters beyond ASCII. */
final class Names {
    private static final int MACHINES = 8;

    /** Two towns: R, i with macron, ga; and R, e with macron, ga. */
    private static final List<String> LETTERS = List.of("R\u012bgas kalte", "R\u0113gas kalte");
    private static final List<String> PLAIN = List.of("Rigas kalte", "Regas kalte");
    private static final List<String> KEYS = List.of("xd9dnn2ctnfzs989anu6", "p2k7m4qz8w1y5t3rv6hc");
    private static final int REQUESTS = 24;

    private Names() {}

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], Names::play);
    }

    private static int play(Lab lab) throws Exception {
        List<String> names = Lab.trouble() ? LETTERS : PLAIN;
        lab.store.put("config", "main", lab.config(7, 112_368, 112_368));
        for (String zone : List.of("perth-north", "sydney-west", "perth-south")) {
            lab.replica("shop", "", "v1", zone);
        }
        lab.startMachines(MACHINES);
        Thread.sleep(5_000);
        ObjectNode next = lab.config(9, 112_368, 112_368);
        ArrayNode tenants = (ArrayNode) next.path("tenants");
        for (int i = 0; i < names.size(); i++) {
            ObjectNode tenant = tenants.get(0).deepCopy();
            tenant.put("name", names.get(i)).putArray("apiKeys").add(KEYS.get(i));
            tenants.add(tenant);
        }
        lab.store.put("config", "main", next);
        lab.ledger.say("the store confirms version 9 with the tenants " + names);
        Thread.sleep(3_500);
        Map<String, String> owners = new TreeMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            String address = lab.machines.get(i % MACHINES).front;
            Client.Answer answer = Client.order(lab.ledger, address, "/order/x" + i, KEYS.get(i % 2));
            owners.put(answer.id, names.get(i % 2));
        }
        int wrong = 0;
        List<Ledger.Run> runs = lab.ledger.runs();
        for (Ledger.Run run : runs) {
            // Header fields have no charset: the name counts as right in either of the usual two.
            String utf = new String(run.tenant.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
            String owner = owners.get(run.request);
            if (!owner.equals(run.tenant) && !owner.equals(utf)) {
                wrong++;
                lab.ledger.add("request " + run.request + " of " + owner + " runs for " + run.tenant);
            }
        }
        long distinct = runs.stream().map(run -> run.tenant).distinct().count();
        lab.ledger.say(runs.size() + " requests of two tenants ran; " + wrong + " with another X-Tenant than the key's tenant; "
            + distinct + " different X-Tenant");
        if (runs.isEmpty()) {
            return 2;
        }
        lab.ledger.say(wrong > 0 ? "UNASKED is broken" : "UNASKED holds");
        return wrong > 0 ? 1 : 0;
    }
}
