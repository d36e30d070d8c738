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
        this(id, folder, 0, true);
    }

    /** Listens at [port]; [unframed] streams have neither a length nor chunks. */
    ReplicaProcess(String id, Path folder, int port, boolean unframed) throws IOException {
        this.id = id;
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = List.of(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), "review.ReplicaProcess", id, folder.resolve(id + ".txt").toString(),
            Integer.toString(port), Boolean.toString(unframed));
        process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        entry = new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
    }

    /** Waits until the process has ended. */
    void awaitEnd() throws InterruptedException {
        process.waitFor();
    }

    int port() {
        return Integer.parseInt(entry.replaceAll(".*\"addr\":\"[^:]*:(\\d+)\".*", "$1"));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    public static void main(String[] arguments) throws Exception {
        try (Record record = new Record(Path.of(arguments[1]));
             Replica replica = new Mortal(arguments[0], Integer.parseInt(arguments[2]), record)) {
            replica.unframed = Boolean.parseBoolean(arguments[3]);
            System.out.println(replica.entry("ready"));
            // The case holds the other end, so that this process ends with it.
            System.in.read();
        }
    }

    private static final class Mortal extends Replica {
        Mortal(String id, int port, Record record) throws IOException {
            super(id, "writer", "decode", "127.0.0.1", port, record);
        }

        @Override
        protected void crash() {
            Runtime.getRuntime().halt(1);
        }
    }
}
