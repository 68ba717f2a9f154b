import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound replica, of a model or of a plain service: one request a connection, a number of slots and a short queue.
 * Answers that it has no room for a request with 503 and X-Not-Executed.
 */
final class Replica implements AutoCloseable {
    private static final String MODEL = "m";
    private static final int PLAIN_BYTES = 800;

    private final String id;
    private final boolean isModel;
    private final int slotCount;
    private final int queueLength;
    private final long workMillis;
    private final Record record;
    private final ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    private final Semaphore slots;
    private final AtomicInteger inside = new AtomicInteger();

    Replica(String id, boolean isModel, int slotCount, int queueLength, long workMillis, Record record)
        throws IOException {
        this.id = id;
        this.isModel = isModel;
        this.slotCount = slotCount;
        this.queueLength = queueLength;
        this.workMillis = workMillis;
        this.record = record;
        slots = new Semaphore(slotCount, true);
        daemon(this::accept);
    }

    /** The replica's entry in the platform's store. */
    String entry(String service) {
        String models = isModel ? ",\"stage\":\"prefill_decode\",\"models\":[" + model() + "]" : "";
        return "{\"backend\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
            + "\",\"zone\":\"fukuoka-a\",\"version\":\"v1\",\"slots\":" + slotCount
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":1760000000000" + models + "}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            Http.Head request = Http.readHead(in);
            if (request == null) return;
            Http.readBody(in, request);
            String target = request.target();
            if (target.startsWith("/v1/report")) {
                send(out, 200, "", "{\"stage\":\"prefill_decode\",\"models\":[" + model()
                    + "],\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":116035}");
            } else if (target.startsWith("/v1/kv-events")) {
                Thread.sleep(Math.min(1000, Long.parseLong(request.field("wait-ms"))));
                send(out, 200, "", "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}");
            } else if (target.startsWith("/v1/")) {
                send(out, 404, "", "{}");
            } else if (!id.equals(request.field("x-expect-instance"))) {
                send(out, 421, "X-Not-Executed: 1\r\n", "");
            } else {
                run(request, out);
            }
        } catch (IOException e) {
            record.write("replica %s: connection ended: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run(Http.Head request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.field("x-attempt-id");
        long deadline = Long.parseLong(request.field("x-deadline-ms"));
        try {
            boolean hasRoom = inside.incrementAndGet() <= slotCount + queueLength;
            if (!hasRoom || !slots.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
                record.write("replica %s: rejects %s", id, attempt);
                send(out, 503, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", "");
                return;
            }
            try {
                record.write("replica %s: runs %s", id, attempt);
                Thread.sleep(workMillis);
                answer(attempt, request, out);
            } finally {
                slots.release();
            }
        } finally {
            inside.decrementAndGet();
        }
    }

    private void answer(String attempt, Http.Head request, OutputStream out) throws IOException {
        String fields = "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt + "\r\n";
        if (!isModel) {
            send(out, 200, fields, "x".repeat(PLAIN_BYTES));
            return;
        }
        StringBuilder events = new StringBuilder();
        int start = request.field("last-event-id").isEmpty() ? 1 : Integer.parseInt(request.field("last-event-id")) + 1;
        int count = Integer.parseInt(request.field("x-token-usage").split(",")[1]);
        for (int number = start; number <= count; number++) {
            events.append("id: ").append(number).append("\ndata: token\n\n");
        }
        send(out, 200, fields + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", events.toString());
    }

    private static void send(OutputStream out, int status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length()
            + "\r\nConnection: close\r\n\r\n" + body));
        out.flush();
    }

    private static String model() {
        return "{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}";
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "replica");
        thread.setDaemon(true);
        thread.start();
    }
}
