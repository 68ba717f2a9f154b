import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message: its first line, its header fields and its body. */
final class Message {
    final String start;
    final List<String[]> fields = new ArrayList<>();
    byte[] body = new byte[0];

    private Message(String start) {
        this.start = start;
    }

    /** Returns the head of the next message, or null if the connection ends before it. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message(line);
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("head cut");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    /** Returns the next request with its whole body, or null if the connection ends before it. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) message.body = message.isChunked() ? readChunks(in) : readExactly(in, message.length(0));
        return message;
    }

    String field(String name) {
        for (String[] field : fields) if (field[0].equalsIgnoreCase(name)) return field[1];
        return null;
    }

    boolean isChunked() {
        return "chunked".equalsIgnoreCase(field("Transfer-Encoding"));
    }

    int length(int absent) {
        String value = field("Content-Length");
        return value == null ? absent : Integer.parseInt(value);
    }

    String method() {
        return start.split(" ")[0];
    }

    String target() {
        return start.split(" ")[1];
    }

    String path() {
        return target().split("\\?")[0];
    }

    String query(String name) {
        int mark = target().indexOf('?');
        if (mark < 0) return null;
        for (String pair : target().substring(mark + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("line cut");
            }
            if (b == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(b);
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body cut");
        return bytes;
    }

    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            byte[] chunk = readChunk(in);
            if (chunk.length == 0) return out.toByteArray();
            out.write(chunk);
        }
    }

    /** Returns the next chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) throw new EOFException("chunks cut");
        byte[] chunk = readExactly(in, Integer.parseInt(size.trim().split(";")[0], 16));
        if (readLine(in) == null) throw new EOFException("chunks cut");
        return chunk;
    }
}
