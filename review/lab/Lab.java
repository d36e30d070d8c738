import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, replicas, and machines that run the project's gateway. */
final class Lab implements AutoCloseable {
    static final int FRONT = 8360;
    static final String HOST = "shop.example";
    static final String KEY = "3d3zji9n73hh2b9wu3fe";
    static final String TENANT = "huka270";
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** What the settings file of DEPLOY.md has for each machine alike. */
    static final List<String> SETTINGS = List.of(
        "role=gateway", "machineClass=edge", "serves=edge,control,registry", "portRange=7500,7515",
        "countsAsLoss=false", "limits.cpuShare=0.75", "limits.cpuCores=1", "limits.memoryMb=280", "limits.maxFds=4100",
        "limits.linkMbps=1000.0", "limits.diskMb=0", "discoveryMode=platform", "entryMode=registry", "heartbeatMs=1200",
        "invariants=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform",
        "tolerate.machines=2", "tolerate.zones=0", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
        "bounds.contactMs=4000", "bounds.ackMs=5000", "bounds.catchupS=4", "bounds.drainMs=3000", "bounds.graceS=8",
        "bounds.lossSlackMs=200", "bounds.configApplyMs=3000", "bounds.rollbackSlackMs=250", "bounds.skewMaxMs=6000",
        "bounds.failClosed=false", "bounds.revokeMs=5000", "bounds.retryBudget=0.2", "bounds.budgetWindowS=10",
        "bounds.budgetSlack=56", "bounds.quotaWindowS=8", "bounds.quotaOverage=0.1", "bounds.quotaSlack=110000",
        "bounds.recoverS=12", "bounds.transitMs=400", "bounds.retryAfterS=3.3", "bounds.fencing=false",
        "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ttl_max_s=5", "platform.form=objects",
        "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576",
        "platform.ttlMinMs=1000");

    final Ledger ledger;
    final Path folder;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();
    private final String net;
    private int nextHost = 100;

    /** @param record folder of the case, which gets record.txt. */
    Lab(Path record) throws IOException {
        ledger = new Ledger(record.resolve("record.txt"));
        folder = Files.createTempDirectory("fireflyhinge-review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        net = "127." + random.nextInt(64, 128) + "." + random.nextInt(1, 250) + ".";
        store = new Store(net + "7:8361");
        store.start();
    }

    /** The command of the deploy file. */
    String command() throws IOException {
        return Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(line -> line.startsWith("run = "))
            .findFirst().orElseThrow().replaceFirst("^run = \"(.*)\"$", "$1");
    }

    String seeds() {
        return machines.stream().limit(3).map(machine -> machine.ip + ":8367").collect(Collectors.joining(","));
    }

    /** Starts [count] machines like those of the small site, and waits until all are ready. */
    void startMachines(int count) throws IOException, InterruptedException {
        List<String> zones = List.of("perth-north", "sydney-west", "perth-south");
        for (int i = 0; i < count; i++) {
            machines.add(new Machine(this, "edge-" + (i + 1), net + (10 + i), zones.get(i % zones.size())));
        }
        for (Machine machine : machines) {
            machine.start(true);
        }
        long end = ledger.millis() + 30_000;
        while (!machines.stream().allMatch(Machine::ready)) {
            if (ledger.millis() > end) {
                throw new IOException("the machines are not ready");
            }
            Thread.sleep(100);
        }
        ledger.add("all machines are ready");
    }

    Replica replica(String service, String stage, String version, String zone) throws IOException {
        Replica replica = new Replica(store, ledger, net + nextHost++ + ":8268", service, stage, version, zone);
        replicas.add(replica);
        return replica.enter();
    }

    String address(int host, int port) {
        return net + host + ":" + port;
    }

    /** A configuration with the routes of the small site, and one tenant with a limit. */
    ObjectNode config(long version, long ratePerS, long burst) {
        ObjectNode root = MAPPER.createObjectNode().put("version", version);
        ArrayNode routes = root.putArray("routes");
        route(routes, "/blurb/", "streaming", "model", 14_000, 900).put("maxAttempts", 2).put("resumable", true)
            .put("sticky", true).put("gapTargetMs", 300);
        route(routes, "/reply/", "streaming", "model", 14_000, 900).put("maxAttempts", 1).put("resumable", false)
            .put("sticky", true).put("gapTargetMs", 300);
        route(routes, "/order/", "non_idempotent", "shop", 800, 300).put("maxAttempts", 1);
        route(routes, "/stock/", "idempotent", "shop", 800, 300).put("maxAttempts", 2);
        ArrayNode services = root.putArray("services");
        ObjectNode model = services.addObject().put("name", "model").put("healthPath", "/healthz").put("maxConns", 370);
        model.put("protocol", "h1").put("tls", false);
        model.putObject("runtime").put("slots", 64).put("kvCapacity", 765_620).put("kvTokenBytes", 18_432)
            .put("linkMbps", 2_900_000.0).put("kvTtlS", 0.5).put("holdMs", 2_000.0).put("pinMs", 4_000.0);
        services.addObject().put("name", "shop").put("healthPath", "/healthz").put("maxConns", 110)
            .put("protocol", "h1").put("tls", false);
        root.putObject("limits").put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304)
            .put("headerTimeoutMs", 3_000).put("idleTimeoutMs", 15_000);
        ObjectNode tenant = root.putArray("tenants").addObject().put("name", TENANT).put("priority", 1);
        tenant.put("billingUnit", "tokens").put("plainTokens", 200).put("ratePerS", ratePerS).put("burstSize", burst);
        tenant.putArray("apiKeys").add(KEY);
        return root;
    }

    private static ObjectNode route(ArrayNode routes, String prefix, String kind, String service, int timeout, int slo) {
        return routes.addObject().put("name", "r-" + prefix.replace("/", "")).put("hostname", HOST)
            .put("pathPrefix", prefix).put("routeKind", kind).put("backend", service).put("timeoutMs", timeout)
            .put("sloMs", slo).put("priority", 1).put("public", false);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the case is played with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Ends all processes, writes the record and exits. */
    void finish(int status) {
        close();
        System.exit(status);
    }

    @Override
    public void close() {
        machines.forEach(Machine::end);
        replicas.forEach(Replica::close);
        store.close();
        ledger.write();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.out.println("the temporary folder is left: " + e.getMessage());
        }
    }

    /** A case. Returns 1 if the rule was broken, 0 if it held. */
    interface Case {
        int play(Lab lab) throws Exception;
    }

    static void run(String folder, Case work) throws IOException {
        Lab lab = new Lab(Path.of(folder));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> lab.machines.forEach(Machine::end)));
        int status = 2;
        try {
            status = work.play(lab);
        } catch (Exception e) {
            lab.ledger.say("the case could not run: " + e);
            e.printStackTrace();
        }
        lab.finish(status);
    }
}
