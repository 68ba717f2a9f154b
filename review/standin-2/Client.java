import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client of a gateway that keeps its connection. */
final class Client implements AutoCloseable {
    private static final String CLOSED = "closed without an answer";

    /** Answer to a request. */
    static final class Answer {
        int status;
        Message head;
        String body = "";
        /** Null if the answer is whole. */
        String fault;

        /** True if the connection ended before any byte of an answer. */
        boolean isClosedUnanswered() {
            return head == null && (CLOSED.equals(fault) || "Connection reset".equals(fault));
        }

        @Override
        public String toString() {
            return "status=" + status + (fault == null ? "" : " fault=" + fault) + " body=" + (body.length() > 60
                ? body.length() + " bytes" : body.replace("\n", "|"));
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;

    Client(String address, int timeoutMillis) throws IOException {
        String[] parts = address.split(":");
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Answer get(String address, String path, int timeoutMillis) throws IOException {
        try (Client client = new Client(address, timeoutMillis)) {
            return client.exchange("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n");
        }
    }

    /** Returns a request without a body if [body] is null. */
    static String request(String method, String path, String host, String fields, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields
            + (body == null ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer exchange(String request) throws IOException {
        send(request);
        return read();
    }

    /** Reads one answer; what has arrived of one that breaks off is kept with the fault. */
    Answer read() {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            answer.head = Message.readHead(in);
            if (answer.head == null) throw new IOException(CLOSED);
            answer.status = answer.head.status();
            if (answer.head.isChunked()) {
                byte[] chunk = Message.readChunk(in);
                while (chunk.length > 0) {
                    body.write(chunk);
                    chunk = Message.readChunk(in);
                }
            } else {
                body.write(Message.readExactly(in, answer.head.length(0)));
            }
        } catch (IOException e) {
            answer.fault = String.valueOf(e.getMessage());
        }
        answer.body = body.toString(StandardCharsets.ISO_8859_1);
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
