import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, in the order in which it was seen, with the time in milliseconds. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%6d ", millis()) + String.format(format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
