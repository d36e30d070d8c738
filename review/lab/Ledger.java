import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run in a case, with milliseconds since its start; ends up in record.txt. */
final class Ledger {
    /** One run of a request at a replica. */
    static final class Run {
        final String request;
        final String replica;
        final String version;
        final String tenant;
        final int tokens;
        final long began;

        Run(String request, String replica, String version, String tenant, int tokens, long began) {
            this.request = request;
            this.replica = replica;
            this.version = version;
            this.tenant = tenant;
            this.tokens = tokens;
            this.began = began;
        }
    }

    private final long start = System.nanoTime();
    private final List<String> lines = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final Path file;

    Ledger(Path file) {
        this.file = file;
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        lines.add(String.format(Locale.ROOT, "%7d %s", millis(), text));
    }

    synchronized void ran(Run run) {
        runs.add(run);
        add("run " + run.request + " at " + run.replica + " (" + run.version + ")"
            + (run.tenant == null ? "" : " for " + run.tenant) + ", " + run.tokens + " tokens");
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Adds a line that is printed too. */
    void say(String text) {
        add(text);
        System.out.println(text);
    }

    synchronized void write() {
        try {
            Files.write(file, lines, java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
