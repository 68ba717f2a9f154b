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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound model replica with the control interface: it takes orders for weights, and it may crash and start again under
 * its id. One order may be left without an answer and arrive late, as the pages allow. One request a connection.
 */
final class WeightsReplica implements AutoCloseable {
    private static final String MODEL = "m";
    private static final int SLOTS = 64;
    private static final long WORK_MILLIS = 150;
    private static final long LOAD_MILLIS = 430;
    private static final long HEARTBEAT_MILLIS = 1000;

    final String id;
    private final Store store;
    private final Record record;
    private final int port;
    private final List<Socket> connections = new ArrayList<>();
    private ServerSocket server;
    private boolean isStopped;

    // State of one start. An order's precondition names the sequence.
    private int start;
    private long born;
    private long sequence;
    private boolean isLoading;
    private int running;
    private int version = 1;
    private int runs;
    private long heartbeats;
    private int delayedVersion;
    private long delayMillis;

    WeightsReplica(String id, Store store, Record record) throws IOException {
        this.id = id;
        this.store = store;
        this.record = record;
        listen(0);
        port = server.getLocalPort();
        daemon(this::renew);
    }

    synchronized int version() {
        return version;
    }

    /** Number of requests that it has begun to run. */
    synchronized int runs() {
        return runs;
    }

    /** Leaves the next order for [orderedVersion] without an answer; it arrives [millis] later. */
    synchronized void delayOrder(int orderedVersion, long millis) {
        delayedVersion = orderedVersion;
        delayMillis = millis;
    }

    /** Ends as by a crash; all connections end. */
    synchronized void crash() throws IOException {
        start++;
        server.close();
        for (Socket connection : connections) connection.close();
        connections.clear();
        record.say("replica %s: crashed with version %d", id, version);
    }

    /** Starts again under the same id and address, with the version that it had. */
    synchronized void startAgain() throws IOException {
        sequence = 0;
        isLoading = false;
        running = 0;
        listen(port);
        record.say("replica %s: started again with version %d", id, version);
    }

    @Override
    public synchronized void close() throws IOException {
        isStopped = true;
        server.close();
    }

    private synchronized void listen(int at) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 512);
        born = System.currentTimeMillis();
        ServerSocket opened = server;
        daemon(() -> accept(opened));
    }

    private void renew() {
        while (true) {
            synchronized (this) {
                if (isStopped) return;
                if (!server.isClosed()) store.put("servers", id, entry());
            }
            Client.sleep(HEARTBEAT_MILLIS / 1000.0);
        }
    }

    private String entry() {
        return "{\"backend\":\"petal-lm\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"fukuoka-a\",\"version\":"
            + "\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
            + heartbeats++ + ",\"born\":" + born + ",\"stage\":\"prefill_decode\",\"models\":[" + model() + "]}";
    }

    private String model() {
        return "{\"name\":\"" + MODEL + "\",\"version\":" + version + ",\"adapters\":[]}";
    }

    private void accept(ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                Socket socket = opened.accept();
                synchronized (this) {
                    connections.add(socket);
                }
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
            String body = new String(Http.readBody(in, request), StandardCharsets.UTF_8);
            String target = request.target();
            if (target.startsWith("/v1/report")) {
                send(out, 200, "", report());
            } else if (target.startsWith("/v1/order")) {
                takeOrder(request, body, in, out);
            } else if (target.startsWith("/v1/kv-events")) {
                Client.sleep(Math.min(1000, Long.parseLong(request.field("wait-ms"))) / 1000.0);
                send(out, 200, "", "{\"epoch\":" + born + ",\"next\":1,\"lost\":false,\"events\":[]}");
            } else if (target.startsWith("/v1/")) {
                send(out, 404, "", "{}");
            } else {
                run(request, out);
            }
        } catch (IOException e) {
            record.write("replica %s: connection ended: %s", id, e.getMessage());
        } finally {
            synchronized (this) {
                connections.remove(socket);
            }
        }
    }

    private synchronized String report() {
        return "{\"stage\":\"prefill_decode\",\"models\":[" + model() + "],\"busy\":" + isLoading + ",\"sequence\":"
            + sequence + ",\"queued\":0,\"running\":" + running + ",\"kv_used\":0,\"kv_total\":116035,\"born\":" + born
            + "}";
    }

    private void takeOrder(Http.Head request, String body, InputStream in, OutputStream out) throws IOException {
        long delay = 0;
        synchronized (this) {
            if (number(body, "version") == delayedVersion) {
                delay = delayMillis;
                delayedVersion = 0;
            }
        }
        String expected = request.field("x-expect-instance");
        if (delay == 0) {
            int status = carryOut(expected, body, "");
            send(out, status, "", "{}");
            return;
        }
        record.say("replica %s: an order gets no answer: %s", id, body);
        double seconds = delay / 1000.0;
        daemon(() -> {
            Client.sleep(seconds);
            carryOut(expected, body, " late");
        });
        in.read();
    }

    private synchronized int carryOut(String expected, String body, String how) {
        int ordered = (int) number(body, "version");
        long precondition = number(body, "precondition");
        int status = 202;
        if (!expected.isEmpty() && !expected.equals(id)) {
            status = 421;
        } else if (ordered == version && !isLoading) {
            status = 200;
        } else if (isLoading || precondition >= 0 && precondition != sequence) {
            status = 409;
        } else {
            sequence++;
            isLoading = true;
            int ofStart = start;
            daemon(() -> load(ordered, ofStart));
        }
        record.say("replica %s:%s order for version %d, precondition %d, by %s: %d", id, how, ordered, precondition,
            text(body, "holder"), status);
        return status;
    }

    // Runs finish first.
    private void load(int ordered, int ofStart) {
        for (boolean isBusy = true; isBusy; ) {
            Client.sleep(0.01);
            synchronized (this) {
                isBusy = running > 0 && start == ofStart;
            }
        }
        Client.sleep(LOAD_MILLIS / 1000.0);
        synchronized (this) {
            if (start != ofStart) return;
            version = ordered;
            isLoading = false;
            record.say("replica %s: has version %d", id, version);
        }
    }

    private void run(Http.Head request, OutputStream out) throws IOException {
        String attempt = request.field("x-attempt-id");
        int ofStart;
        int atVersion;
        String expected = request.field("x-expect-version");
        synchronized (this) {
            ofStart = start;
            atVersion = version;
            String fields = "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\nX-Weight-Versions: " + version
                + "\r\n";
            boolean isOther = !id.equals(request.field("x-expect-instance"));
            if (isOther || !expected.isEmpty() && Integer.parseInt(expected) != version) {
                record.write("replica %s: 421 to %s, which expects version %s", id, attempt, expected);
                send(out, 421, fields, "");
                return;
            }
            if (isLoading || running >= SLOTS) {
                record.write("replica %s: 503 to %s", id, attempt);
                send(out, 503, fields, "");
                return;
            }
            running++;
            runs++;
            record.write("replica %s: runs %s on version %d", id, attempt, version);
        }
        Client.sleep(WORK_MILLIS / 1000.0);
        try {
            answer(attempt, atVersion, request, out);
        } finally {
            synchronized (this) {
                if (start == ofStart) running--;
            }
        }
    }

    private void answer(String attempt, int atVersion, Http.Head request, OutputStream out) throws IOException {
        String fields = "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt
            + "\r\nX-Weight-Versions: " + atVersion + "\r\nContent-Type: text/event-stream\r\n";
        StringBuilder events = new StringBuilder();
        int first = request.field("last-event-id").isEmpty() ? 1 : Integer.parseInt(request.field("last-event-id")) + 1;
        int count = Integer.parseInt(request.field("x-token-usage").split(",")[1]);
        for (int number = first; number <= count; number++) {
            events.append("id: ").append(number).append("\ndata: token\n\n");
        }
        send(out, 200, fields, events.toString());
    }

    private static void send(OutputStream out, int status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length()
            + "\r\nConnection: close\r\n\r\n" + body));
        out.flush();
    }

    /** The number of the field [name] of [body], or -1 if it has none. */
    private static long number(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private static String text(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "replica");
        thread.setDaemon(true);
        thread.start();
    }
}
