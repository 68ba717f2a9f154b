import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server on a loopback address with one thread for each connection. */
abstract class Listener {
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    final String address;

    /** Listens on [address], a host with or without a port. */
    Listener(String address) throws IOException {
        String host = address.split(":")[0];
        int port = address.contains(":") ? Integer.parseInt(address.split(":")[1]) : 0;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        this.address = host + ":" + server.getLocalPort();
        daemon(this::acceptAll);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Answers one request. Returns false if the connection is to be closed. */
    abstract boolean answer(Message request, Socket connection, OutputStream out) throws IOException;

    void close() {
        try {
            server.close();
        } catch (IOException ignored) {
            // The process ends soon.
        }
        for (Socket connection : connections) reset(connection);
    }

    static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connections.add(connection);
                // The server may have been closed after it had accepted the connection.
                if (server.isClosed()) reset(connection);
                daemon(() -> serve(connection));
            } catch (IOException ignored) {
                // The server was closed, or the caller has left.
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            Message request = Message.readRequest(in);
            while (request != null && answer(request, connection, out)) request = Message.readRequest(in);
        } catch (IOException ignored) {
            // The caller has closed the connection.
        } finally {
            connections.remove(connection);
        }
    }

    static void send(OutputStream out, int status, String fields, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
            + "\r\n" + fields + "\r\n";
        byte[] message = new byte[head.length() + bytes.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, message, 0, head.length());
        System.arraycopy(bytes, 0, message, head.length(), bytes.length);
        out.write(message);
        out.flush();
    }
}
