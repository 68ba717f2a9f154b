import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, run and answered: one line for each, with the seconds since the start of the script. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter lines;

    Record(Path file) {
        try {
            lines = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void write(String format, Object... values) {
        lines.printf(Locale.ROOT, "%9.3f %s%n", seconds(), String.format(Locale.ROOT, format, values));
    }

    /** Writes a line that is also shown to whoever runs the script. */
    synchronized void say(String format, Object... values) {
        write(format, values);
        System.out.printf(Locale.ROOT, "%9.3f %s%n", seconds(), String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        lines.close();
    }
}
