import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command and the settings template of the deploy file. */
final class Gateway {
    private static final int METRICS_PORT = 9464;

    final String name;
    final String host;
    final String callers;
    final String readiness;
    private final Path settings;
    private final Path log;
    private final Path root;
    private final String run;
    Process process;

    /** Bounds of the small site hbw-kyushu. */
    static Map<String, String> bounds() {
        Map<String, String> bounds = new HashMap<>();
        bounds.put("revoke_ms", "5000");
        bounds.put("grace_s", "8");
        bounds.put("retry_budget_ratio", "0.2");
        bounds.put("budget_window_s", "10");
        bounds.put("retry_budget_slack", "56");
        bounds.put("lease_ms", "3000");
        bounds.put("drain_ms", "2000");
        bounds.put("version_ms", "8000");
        bounds.put("quota_overage", "0.1");
        return bounds;
    }

    Gateway(Path root, Path folder, int number, Store store, String contracts) throws IOException {
        this.root = root;
        name = "edge-" + number;
        host = freeHost(number);
        callers = host + ":" + freePort();
        readiness = host + ":" + freePort();
        settings = folder.resolve(name + ".yaml");
        log = folder.resolve(name + ".log");
        Map<String, String> values = new HashMap<>();
        bounds().forEach((key, value) -> values.put("bounds." + key, value));
        values.put("node_name", name);
        values.put("zone", "zone-a");
        values.put("bootstrap", "true");
        values.put("ip", host);
        values.put("listen.frontend", callers);
        values.put("listen.readiness", readiness);
        values.put("internal_port_range.0", String.valueOf(freePort()));
        values.put("provider.address", store.address);
        values.put("contracts", contracts);
        String template = Files.readString(root.resolve("deploy/gateway.yaml"));
        Files.writeString(settings, fill(template.replaceAll("\\{\\{#([^}]*)}}.*?\\{\\{/\\1}}", ""), values));
        Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!command.find()) throw new IOException("no run line in the deploy file");
        run = fill(command.group(1), values);
    }

    private static String fill(String text, Map<String, String> values) {
        return Pattern.compile("\\{\\{([^}]*)}}").matcher(text)
            .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    // The template gives the metrics a fixed port, which therefore has to be free on the address of the gateway. Cases
    // that run at the same time begin at different addresses.
    private static String freeHost(int number) throws IOException {
        int network = 1 + (int) (ProcessHandle.current().pid() % 200);
        for (int last = number; last < 250; last += 10) {
            String host = "127.1." + network + "." + last;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(host), METRICS_PORT));
                return host;
            } catch (IOException ignored) {
                // Another process has the port.
            }
        }
        throw new IOException("port " + METRICS_PORT + " is in use on all addresses");
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CELERYWALK_CONFIG", settings.toString());
        builder.directory(root.toFile()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    boolean isReady() {
        try {
            return Client.get(readiness, "/v1/readiness", 1000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the gateway says that it is ready; fails after 30 s. */
    void awaitReady() throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) throw new IOException(name + " is not ready, see " + log);
            Replica.pause(50);
        }
    }

    /** Ends the process without notice and waits for its end. */
    void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    List<String> logLines(String event) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(log)) if (line.contains("\"event\":\"" + event + "\"")) lines.add(line);
        return lines;
    }
}
