import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins and the clients need. */
final class Http {
    /** Head of a request or response: its first line and its fields, by name in lower case. */
    static final class Head {
        final String firstLine;
        final Map<String, String> fields = new TreeMap<>();

        Head(String firstLine) {
            this.firstLine = firstLine;
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a head, or returns null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Head head = new Head(line);
        for (line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) throw new EOFException("the head ends early");
            int colon = line.indexOf(':');
            head.fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return head;
    }

    /** Reads a body that has a length or comes in chunks; any other is empty. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
        } else if (!head.field("content-length").isEmpty()) {
            body.write(readExactly(in, Integer.parseInt(head.field("content-length"))));
        }
        return body.toByteArray();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a line without its end, or returns null at the end of the connection. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        for (; next != '\n'; next = in.read()) {
            if (next < 0) throw new EOFException("a line ends early");
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("the body ends early");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the body ends early");
        return bytes;
    }

    private Http() {}
}
