package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the store, replicas, and gateways as processes of their own, started with
 * the command and the template of the deploy file. Run in the root of the repository.
 */
final class Setup implements AutoCloseable {
    static final String KEY = "wu3fexd9dnn2ctnfzs98";
    static final String SERVICE = "kafi81c";
    static final String ENGINE = "huvo11a";
    private static final int FRONTEND = 8606;
    private static final int READINESS = 8605;

    /** One gateway; each has a loopback address of its own, so that the ports of the deploy file are free. */
    final class Gateway {
        final String name;
        final String ip;
        private final Path settings;
        private Process process;

        private Gateway(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            this.settings = folder.resolve(name + ".yaml");
        }

        void start(boolean isFirstStart) throws IOException {
            Files.writeString(settings, fill(Files.readString(Path.of("deploy/gateway.yaml")), this, isFirstStart));
            List<String> command = new ArrayList<>();
            for (String word : runLine().split(" ")) command.add(fill(word, this, isFirstStart));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("CELERYWALK_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder + "/" + name + ".log")));
            process = builder.start();
            record.add("start", name + " pid " + process.pid());
        }

        void awaitReady() throws IOException {
            long end = System.nanoTime() + 30_000_000_000L;
            while (!isReady()) {
                if (System.nanoTime() > end || !process.isAlive()) throw new IOException(name + " isn't ready");
                sleep(50);
            }
            record.add("ready", name);
        }

        /** Asks the readiness address as the platform does. */
        boolean isReady() {
            try (Socket socket = Setup.connect(ip, READINESS, 1000)) {
                socket.getOutputStream().write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                return Http.read(socket.getInputStream(), false).status() == 200;
            } catch (IOException | RuntimeException notReady) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        /** Sends a signal with kill(1), to this process only. */
        void signal(String signal) throws IOException, InterruptedException {
            record.add("signal", name + " " + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        Socket connect() throws IOException {
            return Setup.connect(ip, FRONTEND, 1000);
        }

        Path log() {
            return folder.resolve(name + ".log");
        }
    }

    final History record;
    final Store store;
    final Path folder;
    final String net;
    private final String storeAddress;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Random random = new Random();
    private int nextPort;

    Setup(History record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review");
        net = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        nextPort = 20_000 + random.nextInt(8_000);
        int port = nextPort++;
        store = new Store(net + "1", port);
        storeAddress = net + "1:" + port;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Gateway addGateway(String name) throws IOException {
        Gateway gateway = new Gateway(name, net + (10 + gateways.size()));
        gateways.add(gateway);
        return gateway;
    }

    Replica addReplica(String id, String service, Replica.Work work) throws IOException {
        return new Replica(id, service, service.equals(ENGINE), net + "2", nextPort++, store, record, work);
    }

    /** Writes the operator's configuration; [routes] is a JSON list without its brackets. */
    void configure(long version, String routes, String limits, String tenants) {
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + "{\"name\":\"" + ENGINE + "\",\"health_check_path\":\"/health\",\"max_connections\":370,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":116035,"
            + "\"kv_token_bytes\":327680,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":3,"
            + "\"max_concurrency\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\""
            + Replica.MODEL + "\"}]}},{\"name\":\"" + SERVICE + "\",\"health_check_path\":\"/health\","
            + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":" + limits + ",\"tenants\":["
            + tenants + "]}");
        record.add("configuration", "version " + version + " acknowledged");
    }

    static final String LIMITS = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        + "\"idle_timeout_ms\":15000}";
    static final String TENANT = "{\"name\":\"sese880\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,"
        + "\"unit\":\"token_count\",\"uncached_tokens\":200,\"isolated\":false,\"rate_per_s\":0,\"burst\":0}";

    static String route(String name, String type, String service, int timeoutMillis, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"jepu9.example\",\"prefix\":\"/" + name + "/\",\"type\":\""
            + type + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":600,\"priority\":1,\"backend\":\""
            + service + "\",\"max_attempts\":" + attempts + ",\"anonymous\":false,\"session_affinity\":"
            + service.equals(ENGINE) + ",\"resumable\":" + resumable + ",\"target_gap_ms\":400}";
    }

    /** Head fields of a client's request, without its length. */
    static String fields(String id, int deadlineMillis) {
        return "Host: jepu9.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMillis
            + "\r\nAuthorization: Bearer " + KEY + "\r\n";
    }

    /** Fields of a request for a generation, as on the page. */
    static String generationFields(String id, int deadlineMillis, int promptTokens, int maxOutputTokens) {
        return fields(id, deadlineMillis) + "X-Model: " + Replica.MODEL + "\r\nX-Token-Usage: " + promptTokens + ","
            + maxOutputTokens + "\r\nX-Prompt-Prefix: 5c1e07a2:" + (promptTokens / 2) + "," + id + ":"
            + (promptTokens - promptTokens / 2) + "\r\n";
    }

    static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMillis);
        return socket;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Ends all processes that were started, by their ids, and removes the temporary folder. */
    @Override
    public void close() {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) gateway.process.destroyForcibly();
        }
        for (Gateway gateway : gateways) {
            try {
                if (gateway.process != null) gateway.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException gone) {
            // Removed already.
        }
    }

    private static String runLine() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!line.find()) throw new IOException("deploy/system.toml has no line run");
        return line.group(1);
    }

    // The figures are those of the smaller sites.
    private String fill(String template, Gateway gateway, boolean isFirstStart) {
        Map<String, String> values = Map.ofEntries(
            Map.entry("node_name", gateway.name), Map.entry("zone", "z-a"), Map.entry("ip", gateway.ip),
            Map.entry("bootstrap", Boolean.toString(isFirstStart)),
            Map.entry("listen.frontend", gateway.ip + ":" + FRONTEND),
            Map.entry("listen.readiness", gateway.ip + ":" + READINESS),
            Map.entry("internal_port_range.0", "7600"), Map.entry("provider.address", storeAddress),
            Map.entry("bounds.revoke_ms", "5000"), Map.entry("bounds.grace_s", "8"),
            Map.entry("bounds.retry_budget_ratio", "0.2"), Map.entry("bounds.budget_window_s", "10"),
            Map.entry("bounds.retry_budget_slack", "56"), Map.entry("bounds.lease_ms", "3000"),
            Map.entry("bounds.drain_ms", "2000"), Map.entry("bounds.version_ms", "8000"),
            Map.entry("bounds.quota_overage", "0.1"));
        String text = template;
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }
}
