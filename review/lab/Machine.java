import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A machine that runs the project's gateway with the command of the deploy file. */
final class Machine {
    final String name;
    final String ip;
    final String zone;
    final String front;
    private final Lab lab;
    private Process process;

    Machine(Lab lab, String name, String ip, String zone) {
        this.lab = lab;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        front = ip + ":" + Lab.FRONT;
    }

    void start(boolean bootstrap) throws IOException {
        Path settings = lab.folder.resolve(name + ".conf");
        Files.writeString(settings, settings(bootstrap));
        List<String> command = new ArrayList<>(Arrays.asList(lab.command().split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(new File("."));
        builder.environment().put("FIREFLYHINGE_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(lab.folder.resolve(name + ".log").toFile()));
        process = builder.start();
        lab.ledger.add("machine " + name + " starts at " + front);
    }

    private String settings(boolean bootstrap) {
        StringBuilder text = new StringBuilder();
        for (String line : Lab.SETTINGS) {
            text.append(line).append('\n');
        }
        for (String region : List.of("perth-north=perth", "perth-south=perth", "sydney-west=sydney")) {
            text.append("zones.").append(region).append('\n');
        }
        text.append("nodeName=").append(name).append("\nbindIp=").append(ip).append("\nzone=").append(zone)
            .append("\nregion=").append(zone.split("-")[0]).append("\nlisten.front=").append(front)
            .append("\nlisten.ready=").append(ip).append(":8365\nlisten.control=").append(ip).append(":8367")
            .append("\nlisten.directory=").append(ip).append(":8364\nbootstrap=").append(bootstrap)
            .append("\nseedNodes=").append(lab.seeds()).append("\nplatform.addr=").append(lab.store.address)
            .append('\n');
        return text.toString();
    }

    /** Sends a signal, for example KILL, STOP, CONT or TERM. */
    void signal(String kind) throws IOException, InterruptedException {
        lab.ledger.add("machine " + name + " gets SIG" + kind);
        new ProcessBuilder("kill", "-" + kind, Long.toString(process.pid())).start().waitFor();
    }

    boolean ready() {
        try (Http.Wire wire = Http.Wire.connect(ip + ":8365", 500)) {
            wire.setTimeout(500);
            wire.send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            return wire.read().status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    boolean running() {
        return process != null && process.isAlive();
    }

    void end() {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
