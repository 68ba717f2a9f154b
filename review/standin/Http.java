package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages over plain sockets, for the stand-ins of clients, replicas and the platform's store. */
final class Http {
    private Http() {
    }

    /** A request or a response; [start] is the first line. */
    record Message(String start, List<String[]> headers, byte[] body) {
        String header(String name) {
            for (String[] field : headers) if (field[0].equalsIgnoreCase(name)) return field[1];
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers [request] on [socket]; returns false if the connection is to be closed. */
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** Serves each connection on a daemon thread of its own. */
    static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException closed) {
                    return;
                }
                daemon(() -> serveConnection(socket, handler));
            }
        });
        return server;
    }

    private static void serveConnection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in, true);
                if (request == null || !handler.handle(request, socket, out)) return;
            }
        } catch (IOException | InterruptedException gone) {
            // The other side has closed the connection.
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message with a length or in chunks, or until the end for a response without either; null at the end. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        String start = line(in, true);
        if (start == null) return null;
        List<String[]> headers = new ArrayList<>();
        String line;
        while (!(line = line(in, false)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        Message head = new Message(start, headers, new byte[0]);
        return new Message(start, headers, body(in, head, isRequest));
    }

    private static byte[] body(InputStream in, Message head, boolean isRequest) throws IOException {
        String length = head.header("Content-Length");
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                body.write(exactly(in, size));
                line(in, false);
                if (size == 0) return body.toByteArray();
            }
        }
        if (length != null) return exactly(in, Integer.parseInt(length));
        return isRequest ? new byte[0] : in.readAllBytes();
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body ends after " + bytes.length + " of " + size);
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0 && mayEnd && bytes.size() == 0) return null;
            if (c < 0) throw new EOFException("the head is incomplete");
            if (c == '\n') break;
            if (c != '\r') bytes.write(c);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String start, String fields, byte[] body) throws IOException {
        byte[] head = (start + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        out.write(message);
        out.flush();
    }
}
