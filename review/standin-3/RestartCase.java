import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * review/12: three of twelve replicas leave an order for weights without an answer and carry it out late, after they
 * crashed and started again under their ids. Exits with 1 if more than one replica, and over a tenth, still has older
 * weights at the end of the traffic.
 */
final class RestartCase {
    private static final int REPLICAS = 12;
    private static final int HIT_REPLICAS = 3;
    private static final double SECOND_VERSION_AT = 6;
    private static final double THIRD_VERSION_AT = 9;
    private static final double CRASH_AT = 13;
    private static final double DOWN_SECONDS = 1;
    private static final long ORDER_DELAY_MILLIS = 11_000;

    // Long enough for stretches of 1.5 x version_ms (12 s) after the last disruption, and contact_ms (3 s).
    private static final double TRAFFIC_SECONDS = 50;
    private static final double LAST_SECONDS = 20;
    private static final int NEWEST_VERSION = 3;

    private static final String BOUNDS = "  key-withdrawal-ms: 5000\n  stop-grace-s: 8\n  retry-ratio: 0.2\n"
        + "  retry-window-s: 10\n  retry-allowance: 56\n  order-lease-ms: 3000\n  endpoint-drain-ms: 2000\n"
        + "  weights-deadline-ms: 8000\n  quota-overage: 0.1\n";

    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + route("round-digest", 6000, 600, 1, 1, false) + "," + route("reorder-draft", 15000, 500, 0, 2, true)
        + "],\"services\":[{\"name\":\"petal-lm\",\"health_check_path\":\"/health\",\"max_connections\":370,"
        + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":116035,\"kv_token_bytes\":327680,\"link_mbps\":550000.0,"
        + "\"max_concurrency\":12,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
        + "\"shop\",\"api_keys\":[\"key\"],\"unit\":\"token_count\",\"uncached_tokens\":200,\"rate_per_s\":1000000,"
        + "\"burst\":1000000}]}";

    private final Record record;
    private final Path folder;
    private final boolean hasTrouble;
    private final List<AutoCloseable> started = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<WeightsReplica> replicas = new ArrayList<>();
    private final List<Integer> earlierRuns = new ArrayList<>();
    private Store store;
    private final List<Client.Kind> kinds = List.of(
        new Client.Kind("round-digest", false, 6000,
            "X-Model: m\r\nX-Token-Usage: 9190,17\r\nX-Prompt-Prefix: a1:6300,ID:2890\r\n"),
        new Client.Kind("reorder-draft", true, 15000,
            "X-Model: m\r\nX-Token-Usage: 826,97\r\nX-Prompt-Prefix: b1:198,ID:628\r\n"));

    // Requests of each kind a second, as on the sheet.
    private static final double[] RATES = {22.7, 19.3};

    private RestartCase(Record record, Path folder, boolean hasTrouble) {
        this.record = record;
        this.folder = folder;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createTempDirectory("review-12");
        int exitCode;
        try (Record record = new Record(Path.of(arguments[0]))) {
            RestartCase restartCase = new RestartCase(record, folder, !"0".equals(System.getenv("TROUBLE")));
            Runtime.getRuntime().addShutdownHook(new Thread(restartCase::stop));
            exitCode = restartCase.run();
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
        store = keep(new Store());
        store.put("op", "config", CONFIGURATION);
        nameVersion(1);
        for (int i = 1; i <= REPLICAS; i++) replicas.add(keep(new WeightsReplica("i-llm-" + i, store, record)));
        int peerPort = Gateway.freePorts("127.0.0.1", 1)[0];
        for (int i = 1; i <= 2; i++) {
            gateways.add(keep(new Gateway("edge-" + i, "127.0.0." + (i + 1), peerPort, folder, store.address(),
                BOUNDS)));
        }
        boolean areReady = true;
        for (Gateway gateway : gateways) areReady &= gateway.awaitReady(15);
        return areReady;
    }

    private void play() throws InterruptedException {
        Client client = new Client(gateways, record);
        double start = record.seconds();
        double[] sent = new double[RATES.length];
        int turn = 0;
        Thread events = new Thread(() -> playEvents(start), "events");
        events.setDaemon(true);
        events.start();
        while (record.seconds() - start < TRAFFIC_SECONDS) {
            for (int i = 0; i < RATES.length; i++) {
                if (sent[i] < (record.seconds() - start) * RATES[i]) {
                    sent[i]++;
                    client.send(kinds.get(i), turn++ % gateways.size());
                }
            }
            Thread.sleep(5);
        }
        Thread.sleep(1000);
    }

    private void playEvents(double start) {
        List<WeightsReplica> hit = hasTrouble ? replicas.subList(0, HIT_REPLICAS) : List.of();
        try {
            Client.sleep(start + SECOND_VERSION_AT - record.seconds());
            for (WeightsReplica replica : hit) replica.delayOrder(2, ORDER_DELAY_MILLIS);
            nameVersion(2);
            Client.sleep(start + THIRD_VERSION_AT - record.seconds());
            nameVersion(NEWEST_VERSION);
            Client.sleep(start + CRASH_AT - record.seconds());
            for (WeightsReplica replica : hit) replica.crash();
            Client.sleep(DOWN_SECONDS);
            for (WeightsReplica replica : hit) replica.startAgain();
            Client.sleep(start + TRAFFIC_SECONDS - LAST_SECONDS - record.seconds());
            for (WeightsReplica replica : replicas) earlierRuns.add(replica.runs());
        } catch (IOException e) {
            record.say("a replica could not start again: %s", e);
        }
    }

    private void nameVersion(int version) {
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":" + version + "}");
        record.say("operator: version %d is named", version);
    }

    private int judge() {
        for (Gateway gateway : gateways) {
            record.say("%s: runs %b, ready %b", gateway.name, gateway.isAlive(), gateway.isReady());
        }
        for (Client.Kind kind : kinds) record.say("%s", kind.summary());
        long outdated = replicas.stream().filter(replica -> replica.version() < NEWEST_VERSION).count();
        for (int i = 0; i < REPLICAS; i++) {
            record.say("%s: version %d, ran %d requests in the last %.0f s", replicas.get(i).id,
                replicas.get(i).version(), replicas.get(i).runs() - earlierRuns.get(i), LAST_SECONDS);
        }
        boolean isBroken = outdated > 1 && outdated * 10 > REPLICAS;
        record.say(isBroken ? "the rule VERSION is broken: %d replicas have older weights"
            : "the rule held: %d replicas have older weights", outdated);
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

    private static String route(String name, int timeout, int target, int priority, int attempts, boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"caller.example\",\"prefix\":\"/" + name
            + "/\",\"type\":\"streaming\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target
            + ",\"priority\":" + priority + ",\"backend\":\"petal-lm\",\"max_attempts\":" + attempts
            + ",\"anonymous\":false,\"session_affinity\":true,\"resumable\":" + isResumable
            + ",\"target_gap_ms\":400}";
    }
}
