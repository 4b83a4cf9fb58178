import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time in milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start on the monotonic clock. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void line(String text) {
        lineAt(now(), text);
    }

    synchronized void lineAt(long millis, String text) {
        out.printf("%7d ms  %s%n", millis, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void show(String text) {
        line(text);
        System.out.printf("%7d ms  %s%n", now(), text);
    }
}
