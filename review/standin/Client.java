package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** Client that sends one request after the other, on a kept connection or each on a new one, as the pages allow. */
final class Client implements AutoCloseable {
    private final Setup.Gateway gateway;
    private final boolean keepsConnection;
    private final int timeoutMillis;
    private Socket socket;
    private InputStream in;

    Client(Setup.Gateway gateway, boolean keepsConnection, int timeoutMillis) {
        this.gateway = gateway;
        this.keepsConnection = keepsConnection;
        this.timeoutMillis = timeoutMillis;
    }

    /** Sends a request and returns the complete answer; throws an IOException if there is none. */
    Http.Message send(String start, String fields, byte[] body) throws IOException {
        try {
            if (socket == null) {
                socket = gateway.connect();
                socket.setSoTimeout(timeoutMillis);
                in = new BufferedInputStream(socket.getInputStream());
            }
            Http.write(socket.getOutputStream(), start, fields, body);
            Http.Message answer = Http.read(in, false);
            if (answer == null) throw new IOException("the connection was closed without an answer");
            if (!keepsConnection || "close".equalsIgnoreCase(answer.header("Connection"))) close();
            return answer;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) socket.close();
        socket = null;
    }
}
