package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    static final long GRACE_MILLIS = 8_000;
    final String name;
    final String host;
    final int front;
    final int ready;
    final int control;
    private final int directory;
    private final Path folder;
    private Process process;

    Gateway(String name, String host, Path folder) throws IOException {
        this.name = name;
        this.host = host;
        this.folder = folder;
        front = freePort(host);
        ready = freePort(host);
        control = freePort(host);
        directory = freePort(host);
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process; [seeds] are the machines of the deployment. */
    void start(String store, List<Gateway> seeds, boolean bootstrap) throws IOException {
        StringBuilder control = new StringBuilder();
        for (Gateway seed : seeds) control.append(control.length() == 0 ? "" : ",").append(seed.host + ":" + seed.control);
        String settings = String.join("\n",
            "nodeName=" + name, "role=gateway", "machineClass=edge", "serves=edge,control,registry",
            "bindIp=" + host, "zone=north", "region=land", "zones.north=land",
            "listen.front=" + host + ":" + front, "listen.ready=" + host + ":" + ready,
            "listen.control=" + host + ":" + this.control, "listen.directory=" + host + ":" + directory,
            "seedNodes=" + control, "bootstrap=" + bootstrap, "countsAsLoss=false",
            "limits.cpuShare=0.75", "limits.cpuCores=1", "limits.memoryMb=280", "limits.maxFds=4100",
            "discoveryMode=platform", "entryMode=registry", "heartbeatMs=1200",
            "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.drainMs=3000", "bounds.graceS=8",
            "bounds.lossSlackMs=200", "bounds.configApplyMs=3000", "bounds.retryBudget=0.2",
            "bounds.budgetWindowS=10", "bounds.budgetSlack=56", "bounds.quotaWindowS=8",
            "bounds.quotaOverage=0.1", "bounds.quotaSlack=110000", "bounds.recoverS=12",
            "bounds.retryAfterS=3.3", "platform.addr=" + store, "platform.form=objects",
            "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576", "");
        Path file = folder.resolve(name + ".conf");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("FIREFLYHINGE_SETTINGS", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static List<String> command() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE).matcher(deploy);
        if (!run.find()) throw new IOException("deploy/system.toml names no command");
        return Arrays.asList(run.group(1).split(" "));
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        for (int poll = 0; poll < 200; poll++) {
            if (isReady()) return;
            Thread.sleep(100);
        }
        throw new IOException(name + " is not ready");
    }

    boolean isReady() {
        try {
            URL url = new URL("http://" + host + ":" + ready + "/-/readyz");
            HttpURLConnection call = (HttpURLConnection) url.openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal, such as STOP. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** Log lines that contain [text]. */
    List<String> logged(String text) throws IOException {
        return Files.readAllLines(folder.resolve(name + ".log")).stream().filter(it -> it.contains(text)).toList();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        if (!alive()) return;
        signal("CONT");
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }
}
