package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the case began. */
final class Record implements AutoCloseable {
    private final long began = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the case began. */
    long now() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        out.printf("%7d ms  %s%n", now(), String.format(format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
