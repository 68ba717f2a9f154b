import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment on loopback addresses: the store, replicas and gateways. Ends all of it on close. */
final class Deployment implements AutoCloseable {
    static final String CONTRACTS =
        "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform";
    static final String HOST = "jepu9.example";

    /** True unless the environment has TROUBLE=0. */
    static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path folder = Files.createTempDirectory("review-2-");
    final Path root = Path.of("").toAbsolutePath();
    final Record record;
    final Store store = new Store("127.0.0.1");
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();

    /** Opens the record in [caseFolder]; the working directory is the root of the repository. */
    Deployment(String caseFolder) throws IOException {
        record = new Record(Path.of(caseFolder, "record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::kill)));
    }

    Replica model(String service, String model, long weights) throws IOException {
        return add(new Replica(nextHost(), "i-" + (1000 + replicas.size()), service, model, weights, store, record));
    }

    Replica plain(String service) throws IOException {
        return add(new Replica(nextHost(), "i-" + (1000 + replicas.size()), service, null, 0, store, record));
    }

    String nextHost() {
        return "127.0.2." + (1 + replicas.size());
    }

    Replica add(Replica replica) {
        replicas.add(replica);
        return replica;
    }

    /** Starts [count] gateways and waits until they are ready. */
    void start(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Gateway gateway = new Gateway(root, folder, gateways.size() + 1, store, CONTRACTS);
            gateways.add(gateway);
            gateway.start();
        }
        for (Gateway gateway : gateways) gateway.awaitReady();
        record.line("gateways ready");
    }

    /** Puts a configuration into the store and returns the time of its acknowledgement. */
    long configure(long version, List<Object> routes, List<Object> services, List<Object> tenants) {
        store.put("op", "config", Json.of("version", version, "routes", routes, "services", services,
            "limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                "idle_timeout_ms", 15000), "tenants", tenants));
        record.line("configuration %d acknowledged: %s", version, Json.write(tenants));
        return System.nanoTime();
    }

    void nameWeights(String model, long version) {
        store.put("op", "version/" + model, Json.of("model", model, "version", version));
        record.line("weights named: model=%s version=%d", model, version);
    }

    static Map<String, Object> route(String name, String prefix, String type, String service, int timeoutMillis,
        int maxAttempts, boolean resumable) {
        return Json.of("name", name, "hostname", HOST, "prefix", prefix, "type", type, "timeout_ms", timeoutMillis,
            "target_latency_ms", 500, "priority", 0, "backend", service, "max_attempts", maxAttempts, "anonymous",
            false, "session_affinity", type.equals("streaming"), "resumable", resumable, "target_gap_ms", 400);
    }

    static Map<String, Object> modelService(String name, String... models) {
        List<Object> list = new ArrayList<>();
        Arrays.stream(models).forEach(model -> list.add(Json.of("name", model)));
        return Json.of("name", name, "health_check_path", "/health", "max_connections", 370, "protocol", "h1", "tls",
            false, "engine", Json.of("slots", 64, "kv_capacity_tokens", 116035, "kv_token_bytes", 327680, "link_mbps",
                550000.0, "moves", true, "backups", true, "stride", 3, "max_concurrency", 12, "pin_ms", 4000.0,
                "hold_ms", 2000.0, "handle_s", 5.0, "models", list));
    }

    static Map<String, Object> plainService(String name) {
        return Json.of("name", name, "health_check_path", "/health", "max_connections", 110, "protocol", "h1", "tls",
            false);
    }

    static Map<String, Object> tenant(String name, boolean isolated, String... keys) {
        return Json.of("name", name, "api_keys", List.of((Object[]) keys), "priority", 1, "unit", "token_count",
            "uncached_tokens", 200, "isolated", isolated, "rate_per_s", 500000, "burst", 500000);
    }

    /** Header fields of a generation; [prefix] is the value of X-Prompt-Prefix. */
    static String generation(String attempt, String key, String model, String prefix, int outputTokens, int deadline) {
        int tokens = Arrays.stream(prefix.split(",")).mapToInt(part -> Integer.parseInt(part.split(":")[1])).sum();
        return "X-Attempt-Id: " + attempt + "\r\nX-Model: " + model + "\r\nX-Token-Usage: " + tokens + ","
            + outputTokens + "\r\nX-Prompt-Prefix: " + prefix + "\r\nX-Deadline-Ms: " + deadline
            + "\r\nAuthorization: Bearer " + key + "\r\n";
    }

    static String call(String attempt, String key, int deadline) {
        return "X-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + deadline + "\r\nAuthorization: Bearer " + key
            + "\r\n";
    }

    /** Sends a request over [client] and records it, as it is sent and as it is answered. */
    Client.Answer exchange(Client client, String attempt, String request) throws IOException {
        record.line("sent attempt=%s to=%s", attempt, client.socket.getRemoteSocketAddress());
        Client.Answer answer = client.exchange(request);
        record.line("answered attempt=%s %s", attempt, answer);
        return answer;
    }

    @Override
    public void close() {
        gateways.forEach(Gateway::kill);
        replicas.forEach(Listener::close);
        store.close();
        record.close();
        File[] files = folder.toFile().listFiles();
        if (files != null) Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
    }
}
