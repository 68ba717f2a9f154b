import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model replica, or replica of a plain service if it has no model.
 *
 * A model replica keeps the parts of the prompts that it has read under the text in X-Cache-Salt, fetches parts from
 * the replica that X-Kv-Fetch names, and takes new weights by order, after its runs have finished.
 */
class Replica extends Listener {
    /** Part of a prompt in the cache, with the tenant and the run that read it and the weights that it was read with. */
    record Part(String tenant, String attempt, long weights) {}

    /** One run of a request. */
    record Run(String attempt, String tenant, long weights, long at, String replica, List<String> usedParts) {}

    static final Map<String, Replica> BY_ADDRESS = new ConcurrentHashMap<>();
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final double READ_TOKENS_PER_MILLI = 50;

    final String id;
    final String service;
    final String model;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final Map<String, Part> cache = new ConcurrentHashMap<>();
    final Record record;
    private final Store store;
    private final AtomicInteger running = new AtomicInteger();
    volatile long weights;
    volatile boolean isOrderBusy;
    volatile long sequence;
    volatile String state = "ready";
    volatile boolean isRegistering = true;
    private long beats;

    Replica(String host, String id, String service, String model, long weights, Store store, Record record)
        throws IOException {
        super(host);
        this.id = id;
        this.service = service;
        this.model = model;
        this.weights = weights;
        this.store = store;
        this.record = record;
        BY_ADDRESS.put(address, this);
        register();
        daemon(this::beat);
    }

    /** Ends the process: refuses connections and resets those that are open. Its entry lapses after three beats. */
    synchronized void crash() {
        if (!isRegistering) return;
        isRegistering = false;
        close();
        record.line("crash replica=%s", id);
        daemon(() -> {
            pause(3 * HEARTBEAT_MILLIS);
            store.remove("servers", id);
        });
    }

    private List<Object> models() {
        return model == null ? List.of() : List.of(Json.of("name", model, "version", weights, "adapters", List.of()));
    }

    final synchronized void register() {
        if (!isRegistering) return;
        Map<String, Object> entry = Json.of("backend", service, "address", address, "zone", "zone-a", "version", "v1",
            "slots", model == null ? 6 : 64, "state", state, "cold_remaining_ms", 0, "models", models(),
            "sequence", ++beats, "born", born);
        store.put("servers", id, entry);
    }

    private void beat() {
        try {
            while (isRegistering) {
                Thread.sleep(HEARTBEAT_MILLIS);
                register();
            }
        } catch (InterruptedException ignored) {
            // The process ends.
        }
    }

    @Override
    boolean answer(Message request, Socket connection, OutputStream out) throws IOException {
        String expected = request.field("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            send(out, 421, "X-Instance-Id: " + id + "\r\n", "{}");
            return true;
        }
        switch (request.path()) {
            case "/v1/report" -> send(out, 200, "", Json.write(Json.of("stage", "prefill_decode", "models", models(),
                "busy", isOrderBusy, "sequence", sequence, "queued", 0, "running", running.get(), "kv_used", 0,
                "kv_total", 116035, "handles", 0, "born", born)));
            case "/v1/kv-events" -> {
                pause(Integer.parseInt(request.field("Wait-Ms")));
                send(out, 200, "", Json.write(Json.of("epoch", born, "next", 1, "lost", false, "events", List.of())));
            }
            case "/v1/order" -> order(Json.object(new String(request.body)), out);
            default -> {
                return run(request, out);
            }
        }
        return true;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized void order(Map<String, Object> order, OutputStream out) throws IOException {
        long version = (Long) order.get("version");
        Object precondition = order.get("precondition");
        record.line("order replica=%s holder=%s token=%s version=%d", id, order.get("holder"),
            order.get("fencing_token"), version);
        if (version == weights) {
            send(out, 200, "", "{}");
        } else if (isOrderBusy || precondition != null && (Long) precondition != sequence) {
            send(out, 409, "", "{}");
        } else {
            isOrderBusy = true;
            sequence++;
            send(out, 202, "", "{}");
            daemon(() -> load(version));
        }
    }

    private void load(long version) {
        while (running.get() > 0) pause(5);
        pause(570);
        cache.clear();
        weights = version;
        isOrderBusy = false;
        record.line("loaded replica=%s version=%d", id, version);
        register();
    }

    private String notExecuted(Message request) {
        return "X-Not-Executed: 1\r\nX-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\n";
    }

    private boolean run(Message request, OutputStream out) throws IOException {
        String expectedWeights = request.field("X-Expect-Version");
        if (expectedWeights != null && Long.parseLong(expectedWeights) != weights) {
            send(out, 421, "X-Instance-Id: " + id + "\r\nX-Weight-Versions: " + weights + "\r\n", "{}");
            return true;
        }
        running.incrementAndGet();
        try {
            if (isOrderBusy) {
                send(out, 503, notExecuted(request), "{}");
                return true;
            }
            List<String> usedParts = new ArrayList<>();
            int tokens = model == null ? 0 : read(request, usedParts);
            String attempt = request.field("X-Attempt-Id");
            runs.add(new Run(attempt, request.field("X-Tenant"), weights, System.nanoTime(), id, usedParts));
            record.line("run attempt=%s tenant=%s replica=%s service=%s weights=%d salt=%s used=%s", attempt,
                request.field("X-Tenant"), id, service, weights, request.field("X-Cache-Salt"), usedParts);
            respond(request, attempt, tokens, out);
            return true;
        } finally {
            running.decrementAndGet();
        }
    }

    /** Answers a request that has run; [tokens] prompt tokens had to be read for it. */
    void respond(Message request, String attempt, int tokens, OutputStream out) throws IOException {
        pause((long) (tokens / READ_TOKENS_PER_MILLI) + 6);
        String fields = "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt + "\r\n";
        if (model == null) {
            send(out, 200, fields, "answer to " + attempt);
            return;
        }
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + "X-Weight-Versions: " + weights + "\r\n" + fields + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        String last = request.field("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        int count = Integer.parseInt(request.field("X-Token-Usage").split(",")[1].trim());
        for (int number = first; number <= count; number++) {
            pause(6);
            chunk(out, event(attempt, number));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String event(String attempt, int number) {
        return "id: " + number + "\ndata: " + attempt + "-" + number + "\n\n";
    }

    static void chunk(OutputStream out, String text) throws IOException {
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    // Returns the number of tokens that are in no cache; adds what is used from the cache to [usedParts].
    private int read(Message request, List<String> usedParts) {
        String salt = String.valueOf(request.field("X-Cache-Salt"));
        Replica source = request.field("X-Kv-Fetch") == null ? null : BY_ADDRESS.get(request.field("X-Kv-Fetch"));
        int unread = 0;
        boolean isPrefix = true;
        for (String entry : request.field("X-Prompt-Prefix").split(",")) {
            String part = entry.split(":")[0];
            String key = salt + " " + part;
            Part kept = cache.get(key);
            if (kept == null && source != null) kept = source.cache.get(key);
            isPrefix = isPrefix && kept != null;
            if (isPrefix) {
                usedParts.add(part + "<" + kept.tenant + "/" + kept.attempt + "/v" + kept.weights);
                cache.put(key, kept);
            } else {
                unread += Integer.parseInt(entry.split(":")[1]);
                cache.put(key, new Part(request.field("X-Tenant"), request.field("X-Attempt-Id"), weights));
            }
        }
        return unread;
    }
}
