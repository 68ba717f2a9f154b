package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the milliseconds since the start. */
final class History {
    private final PrintStream out;
    private final long startedAt = System.nanoTime();

    History(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false);
    }

    /** Adds a line; runs of zeros in ids are written as a hyphen, to keep the file small. */
    synchronized void add(String kind, String text) {
        out.println((System.nanoTime() - startedAt) / 1_000_000 + " " + kind + " " + text.replaceAll("0{6,}", "-"));
    }

    synchronized void close() {
        out.flush();
        out.close();
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }
}
