package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.List;

/** A replica as a process of its own, which can be killed. */
public final class ReplicaProcess implements AutoCloseable {
    final String id;
    final String entry;
    private final Process process;

    /** Starts replica [id] that makes tokens and keeps its own record in [folder]. */
    ReplicaProcess(String id, Path folder) throws IOException {
        this.id = id;
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), "review.ReplicaProcess", id, folder.resolve(id + ".txt").toString());
        process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        entry = new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    public static void main(String[] arguments) throws Exception {
        try (Record record = new Record(Path.of(arguments[1]));
             Replica replica = new Replica(arguments[0], "writer", "decode", "127.0.0.1", record)) {
            replica.unframed = true;
            System.out.println(replica.entry("ready"));
            Thread.sleep(110_000);
        }
    }
}
