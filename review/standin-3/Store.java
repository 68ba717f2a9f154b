import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: rows of tables with one version counter, reads, a feed and conditional transactions. */
final class Store implements AutoCloseable {
    private static final class Row {
        final String value;
        final long version;

        Row(String value, long version) {
            this.value = value;
            this.version = version;
        }
    }

    private static final Pattern ENTRY = Pattern.compile("\\{([^{}]*)\\}");
    private static final long ANSWER_MILLIS = 4;

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private long version = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::answer);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a replica does. */
    synchronized void put(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(encoded, ++version));
        notifyAll();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void answer(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            Thread.sleep(ANSWER_MILLIS);
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/rows-get":
                    send(exchange, 200, rows(query.get("table"), 0));
                    break;
                case "/v1/rows-feed":
                    awaitChange(query);
                    send(exchange, 200, rows(query.get("table"), Long.parseLong(query.get("after"))));
                    break;
                case "/v1/rows-tx":
                    transact(exchange, body);
                    break;
                default:
                    send(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitChange(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (newest(query.get("table")) <= after && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
    }

    private long newest(String table) {
        return tables.getOrDefault(table, new TreeMap<>()).values().stream().mapToLong(row -> row.version).max()
            .orElse(0);
    }

    private synchronized String rows(String table, long after) {
        List<String> rows = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).forEach((key, row) -> {
            if (row.version > after) rows.add(encode(table, key, row));
        });
        return "{\"rows\":[" + String.join(",", rows) + "],\"has_more\":false," + versionAndTime() + "}";
    }

    private synchronized void transact(HttpExchange exchange, String body) throws IOException {
        List<Map<String, String>> conditions = entries(body, "precondition");
        boolean isMet = conditions.stream().allMatch(entry -> {
            Row row = tables.getOrDefault(entry.get("table"), new TreeMap<>()).get(entry.get("key"));
            return (row == null ? 0 : row.version) == Long.parseLong(entry.get("row_version"));
        });
        if (!isMet) {
            send(exchange, 412, "{\"rows\":[]," + versionAndTime() + "}");
            return;
        }
        version++;
        entries(body, "writes").forEach(entry -> tables.computeIfAbsent(entry.get("table"), name -> new TreeMap<>())
            .put(entry.get("key"), new Row(entry.get("value"), version)));
        entries(body, "remove").forEach(entry ->
            tables.getOrDefault(entry.get("table"), new TreeMap<>()).remove(entry.get("key")));
        notifyAll();
        send(exchange, 200, "{" + versionAndTime() + "}");
    }

    private String versionAndTime() {
        return "\"row_version\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000;
    }

    private static String encode(String table, String key, Row row) {
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + row.value
            + "\",\"row_version\":" + row.version + "}";
    }

    // The entries of one list of a transaction: flat objects without braces in their texts.
    private static List<Map<String, String>> entries(String body, String list) {
        int start = body.indexOf("\"" + list + "\"");
        List<Map<String, String>> entries = new ArrayList<>();
        if (start < 0) return entries;
        Matcher matcher = ENTRY.matcher(body.substring(start, body.indexOf(']', start)));
        while (matcher.find()) {
            Map<String, String> entry = new TreeMap<>();
            Matcher field = Pattern.compile("\"(\\w+)\":\"?([^\",]*)\"?").matcher(matcher.group(1));
            while (field.find()) entry.put(field.group(1), field.group(2));
            entries.add(entry);
        }
        return entries;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new TreeMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
        }
        return query;
    }

    private static void send(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
    }
}
