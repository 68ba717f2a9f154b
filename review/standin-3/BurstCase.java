import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * review/12: many callers come at once and ask for answers of two megabytes. Exits with 1 if the gateway closes more
 * than three kept connections without an answer to a request that a sound replica has answered.
 */
final class BurstCase {
    private static final int LIST_BYTES = 2_000_000;
    private static final int CALM_CALLERS = 4;
    private static final int BURST_CALLERS = 48;
    private static final double CALM_PAUSE_SECONDS = 0.3;
    private static final double BURST_PAUSE_SECONDS = 0.05;
    private static final double CALM_SECONDS = 10;
    private static final double BURST_SECONDS = 10;
    private static final double CALM_AFTER_SECONDS = 30;
    private static final int DEADLINE_MILLIS = 4000;
    private static final int MAX_CLOSED = 3;

    private static final String BOUNDS = "  key-withdrawal-ms: 5000\n  stop-grace-s: 8\n  retry-ratio: 0.2\n"
        + "  retry-window-s: 10\n  retry-allowance: 54\n  order-lease-ms: 3000\n  endpoint-drain-ms: 2000\n"
        + "  weights-deadline-ms: 8000\n  quota-overage: 0.1\n";

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + route("stock-book", "non_idempotent", 1) + "," + route("order-check", "idempotent", 2)
        + "],\"services\":[{\"name\":\"outlet-ops\",\"health_check_path\":\"/health\",\"max_connections\":100}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"key\"],\"unit\":"
        + "\"token_count\",\"uncached_tokens\":200,\"rate_per_s\":1000000,\"burst\":1000000}]}";

    private final Record record;
    private final Path folder;
    private final boolean hasTrouble;
    private final List<AutoCloseable> started = new ArrayList<>();
    private final Map<String, Integer> results = new TreeMap<>();
    private int closedCount;

    private BurstCase(Record record, Path folder, boolean hasTrouble) {
        this.record = record;
        this.folder = folder;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createTempDirectory("review-12");
        int exitCode;
        try (Record record = new Record(Path.of(arguments[0]))) {
            BurstCase burstCase = new BurstCase(record, folder, !"0".equals(System.getenv("TROUBLE")));
            Runtime.getRuntime().addShutdownHook(new Thread(burstCase::stop));
            exitCode = burstCase.run();
        }
        System.exit(exitCode);
    }

    private int run() {
        try {
            Store store = keep(new Store());
            store.put("op", "config", CONFIGURATION);
            for (int i = 1; i <= 3; i++) {
                Replica replica = keep(new Replica("i-ops-" + i, false, 6, 24, 86, LIST_BYTES, record));
                store.put("servers", "i-ops-" + i, replica.entry("outlet-ops"));
            }
            int peerPort = Gateway.freePorts("127.0.0.1", 1)[0];
            Gateway gateway = keep(new Gateway("edge-1", "127.0.0.2", peerPort, folder, store.address(), BOUNDS));
            if (!gateway.awaitReady(15)) {
                record.say("the gateway did not become ready; the case could not run");
                return 2;
            }
            phase(gateway, "calm", CALM_CALLERS, CALM_PAUSE_SECONDS, CALM_SECONDS);
            if (hasTrouble) {
                phase(gateway, "burst", BURST_CALLERS, BURST_PAUSE_SECONDS, BURST_SECONDS);
            } else {
                phase(gateway, "calm", CALM_CALLERS, CALM_PAUSE_SECONDS, BURST_SECONDS);
            }
            phase(gateway, "calm after", CALM_CALLERS, CALM_PAUSE_SECONDS, CALM_AFTER_SECONDS);
            return judge(gateway);
        } catch (IOException | InterruptedException e) {
            record.say("the case could not run: %s", e);
            return 2;
        } finally {
            stop();
        }
    }

    private void phase(Gateway gateway, String phase, int callers, double pause, double seconds)
        throws InterruptedException {
        record.say("%s: %d callers", phase, callers);
        double end = record.seconds() + seconds;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            Thread thread = new Thread(() -> call(gateway, phase, pause, end), "caller");
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) thread.join();
    }

    private void call(Gateway gateway, String phase, double pause, double end) {
        while (record.seconds() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(gateway.host, gateway.callersPort), 1000);
                socket.setSoTimeout(DEADLINE_MILLIS + 1000);
                int answers = 0;
                while (record.seconds() < end && ask(socket, phase, answers++)) Client.sleep(pause);
            } catch (IOException e) {
                count(phase, "-", "no connection");
                Client.sleep(pause);
            }
        }
    }

    // Sends one request on a kept connection; returns true if the connection can be used again.
    private boolean ask(Socket socket, String phase, int answersBefore) throws IOException {
        String kind = ThreadLocalRandom.current().nextBoolean() ? "stock-book" : "order-check";
        String id = String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
        socket.getOutputStream().write(Http.bytes("POST /" + kind + "/a HTTP/1.1\r\nHost: caller.example\r\n"
            + "Authorization: Bearer key\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
            + "\r\nContent-Length: 2\r\n\r\n{}"));
        String result;
        try {
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            if (head == null) {
                result = "closed without an answer";
            } else {
                int length = Http.readBody(in, head).length;
                result = head.status() == 200 ? "200, whole" : Integer.toString(head.status());
                record.write("client: %s %s answer %d, %d bytes", kind, id, head.status(), length);
            }
        } catch (IOException e) {
            result = "answer broken off";
        }
        count(phase, kind, result);
        boolean isAnswered = result.startsWith("200") || result.length() == 3;
        if (!isAnswered) {
            record.write("client: %s %s %s, after %d answers on this connection", kind, id, result, answersBefore);
            if (answersBefore > 0) countClosed();
        }
        return isAnswered;
    }

    private synchronized void count(String phase, String kind, String result) {
        results.merge(String.format(Locale.ROOT, "%-10s %-11s %s", phase, kind, result), 1, Integer::sum);
    }

    private synchronized void countClosed() {
        closedCount++;
    }

    private synchronized int judge(Gateway gateway) {
        record.say("%s: runs %b, ready %b", gateway.name, gateway.isAlive(), gateway.isReady());
        results.forEach((key, number) -> record.say("%s: %d", key, number));
        boolean isBroken = closedCount > MAX_CLOSED;
        record.say("kept connections closed without a whole answer: %d", closedCount);
        record.say(isBroken ? "the rule LOST is broken" : "the rule held");
        return isBroken ? 1 : 0;
    }

    private <T extends AutoCloseable> T keep(T resource) {
        synchronized (started) {
            started.add(resource);
        }
        return resource;
    }

    private void stop() {
        synchronized (started) {
            for (AutoCloseable resource : started) {
                try {
                    resource.close();
                } catch (Exception e) {
                    System.err.println("not closed: " + e);
                }
            }
            started.clear();
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) Files.delete(file);
            Files.delete(folder);
        } catch (IOException e) {
            // The folder is already gone if the end of the script comes twice.
        }
    }

    private static String route(String name, String type, int attempts) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"caller.example\",\"prefix\":\"/" + name + "/\",\"type\":\""
            + type + "\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":2,\"backend\":\"outlet-ops\","
            + "\"max_attempts\":" + attempts + ",\"anonymous\":false}";
    }
}
