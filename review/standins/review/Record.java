package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, one line each, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) {
        try {
            file = new PrintWriter(path.toFile());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    synchronized void add(String format, Object... values) {
        String line = String.format("%7d ms  ", (System.nanoTime() - startedAt) / 1_000_000) + String.format(format, values);
        file.println(line);
        file.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
