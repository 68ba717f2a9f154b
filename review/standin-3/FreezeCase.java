import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * review/11: two gateways freeze in turn, three times each and for six seconds, while calls to the plain service are
 * open. Exits with 1 if a kind of request is then served less than a quarter as often as all requests.
 */
final class FreezeCase {
    private static final double TRAFFIC_SECONDS = 108;
    private static final double FREEZE_SECONDS = 6;
    private static final double[] FREEZE_AT = {1, 7.5, 14, 20.5, 27, 33.5};

    // Calls of the first two kinds that come at once as a gateway freezes. With the sheet's rates they stay under its
    // burst of 1.7 times, taken over 3 s. The three replicas run 18 calls at once and queue 72.
    private static final int[] OPEN_CALLS = {20, 9};
    private static final double OPEN_CALLS_LEAD_SECONDS = 0.012;

    private static final String BOUNDS = "  key-withdrawal-ms: 5000\n  stop-grace-s: 8\n  retry-ratio: 0.2\n"
        + "  retry-window-s: 10\n  retry-allowance: 56\n  order-lease-ms: 3000\n  endpoint-drain-ms: 2000\n"
        + "  weights-deadline-ms: 8000\n  quota-overage: 0.1\n";

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + route("bucket-swap", "non_idempotent", 600, 121, 2, "rounds-app", 1, "") + ","
        + route("stock-lookup", "idempotent", 600, 121, 2, "rounds-app", 2, "") + ","
        + route("round-digest", "streaming", 6000, 600, 1, "petal-lm", 1,
            ",\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":400") + ","
        + route("reorder-draft", "streaming", 15000, 500, 0, "petal-lm", 2,
            ",\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":400")
        + "],\"services\":[{\"name\":\"rounds-app\",\"health_check_path\":\"/health\",\"max_connections\":110},"
        + "{\"name\":\"petal-lm\",\"health_check_path\":\"/health\",\"max_connections\":370,\"engine\":{\"slots\":64,"
        + "\"kv_capacity_tokens\":116035,\"kv_token_bytes\":327680,\"link_mbps\":550000.0,\"max_concurrency\":12,"
        + "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shop\",\"api_keys\":"
        + "[\"key\"],\"unit\":\"token_count\",\"uncached_tokens\":200,\"rate_per_s\":1000000,\"burst\":1000000}]}";

    private final Record record;
    private final Path folder;
    private final boolean hasTrouble;
    private final List<AutoCloseable> started = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Client.Kind> kinds = List.of(
        new Client.Kind("bucket-swap", false, 600, ""),
        new Client.Kind("stock-lookup", true, 600, ""),
        new Client.Kind("round-digest", false, 6000,
            "X-Model: m\r\nX-Token-Usage: 9190,17\r\nX-Prompt-Prefix: a1:6300,ID:2890\r\n"),
        new Client.Kind("reorder-draft", true, 15000,
            "X-Model: m\r\nX-Token-Usage: 826,97\r\nX-Prompt-Prefix: b1:198,ID:628\r\n"));

    // Requests of each kind a second, as on the sheet.
    private static final double[] RATES = {10.5, 5.04, 22.7, 19.3};

    private FreezeCase(Record record, Path folder, boolean hasTrouble) {
        this.record = record;
        this.folder = folder;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createTempDirectory("review-11");
        int exitCode;
        try (Record record = new Record(Path.of(arguments[0]))) {
            FreezeCase freezeCase = new FreezeCase(record, folder, !"0".equals(System.getenv("TROUBLE")));
            Runtime.getRuntime().addShutdownHook(new Thread(freezeCase::stop));
            exitCode = freezeCase.run();
        }
        System.exit(exitCode);
    }

    private int run() {
        try {
            if (!start()) {
                record.say("a gateway did not become ready; the case could not run");
                return 2;
            }
            play();
            return judge();
        } catch (IOException | InterruptedException e) {
            record.say("the case could not run: %s", e);
            return 2;
        } finally {
            stop();
        }
    }

    private boolean start() throws IOException, InterruptedException {
        Store store = keep(new Store());
        store.put("op", "config", CONFIGURATION);
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":1}");
        for (int i = 1; i <= 3; i++) {
            Replica replica = keep(new Replica("i-app-" + i, false, 6, 24, 21, record));
            store.put("servers", "i-app-" + i, replica.entry("rounds-app"));
        }
        for (int i = 1; i <= 4; i++) {
            Replica replica = keep(new Replica("i-llm-" + i, true, 64, 192, 150, record));
            store.put("servers", "i-llm-" + i, replica.entry("petal-lm"));
        }
        int peerPort = Gateway.freePorts("127.0.0.1", 1)[0];
        for (int i = 1; i <= 2; i++) {
            gateways.add(keep(new Gateway("edge-" + i, "127.0.0." + (i + 1), peerPort, folder, store.address(),
                BOUNDS)));
        }
        boolean areReady = true;
        for (Gateway gateway : gateways) areReady &= gateway.awaitReady(15);
        return areReady;
    }

    private void play() throws IOException, InterruptedException {
        Client client = new Client(gateways, record);
        double start = record.seconds();
        double[] sent = new double[RATES.length];
        int turn = 0;
        Thread trouble = new Thread(() -> freezeInTurn(client, start), "trouble");
        trouble.setDaemon(true);
        trouble.start();
        while (record.seconds() - start < TRAFFIC_SECONDS) {
            for (int i = 0; i < RATES.length; i++) {
                if (sent[i] < (record.seconds() - start) * RATES[i]) {
                    sent[i]++;
                    client.send(kinds.get(i), turn++ % gateways.size());
                }
            }
            Thread.sleep(5);
        }
        trouble.join(1000);
        Thread.sleep(1500);
    }

    private void freezeInTurn(Client client, double start) {
        try {
            for (int freeze = 0; freeze < FREEZE_AT.length; freeze++) {
                Client.sleep(start + FREEZE_AT[freeze] - record.seconds());
                int i = freeze % gateways.size();
                for (int kind = 0; kind < OPEN_CALLS.length; kind++) {
                    for (int call = 0; call < OPEN_CALLS[kind]; call++) client.send(kinds.get(kind), i);
                }
                Client.sleep(OPEN_CALLS_LEAD_SECONDS);
                if (!hasTrouble) continue;
                gateways.get(i).signal("STOP");
                record.say("%s is frozen", gateways.get(i).name);
                Client.sleep(FREEZE_SECONDS);
                gateways.get(i).signal("CONT");
                record.say("%s goes on", gateways.get(i).name);
            }
        } catch (IOException | InterruptedException e) {
            record.say("the freeze failed: %s", e);
        }
    }

    private int judge() {
        int allSent = kinds.stream().mapToInt(kind -> kind.sent.get()).sum();
        int allServed = kinds.stream().mapToInt(kind -> kind.served.get()).sum();
        double share = (double) allServed / allSent;
        for (Gateway gateway : gateways) {
            record.say("%s: runs %b, ready %b", gateway.name, gateway.isAlive(), gateway.isReady());
        }
        record.say("all requests: sent %d, served %d (%.3f)", allSent, allServed, share);
        boolean isBroken = false;
        for (Client.Kind kind : kinds) {
            boolean isStarved = kind.servedShare() < share / 4;
            isBroken |= isStarved;
            record.say("%s%s", kind.summary(), isStarved ? ": starved" : "");
        }
        record.say(isBroken ? "the rule Starved is broken" : "the rule held");
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

    private static String route(String name, String type, int timeout, int target, int priority, String service,
        int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"caller.example\",\"prefix\":\"/" + name + "/\",\"type\":\""
            + type + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":" + priority
            + ",\"backend\":\"" + service + "\",\"max_attempts\":" + attempts + ",\"anonymous\":false" + more + "}";
    }
}
