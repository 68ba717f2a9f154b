import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store of rows, as PROTOCOL.md describes it, with rows in one part only. */
final class Store extends Listener {
    private record Row(String value, long version) {}

    private record Change(String table, String key, String value, long version) {}

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version;
    private final long startedAt = System.nanoTime();

    Store(String host) throws IOException {
        super(host);
    }

    /** Writes a row as the operator or a replica does and returns its version. */
    synchronized long put(String table, String key, Object value) {
        version++;
        write(table, key, Base64.getEncoder().encodeToString(Json.write(value).getBytes()));
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        write(table, key, null);
    }

    private void write(String table, String key, String value) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, t -> new TreeMap<>());
        if (value == null) rows.remove(key);
        else rows.put(key, new Row(value, version));
        changes.add(new Change(table, key, value, version));
        notifyAll();
    }

    @Override
    boolean answer(Message request, Socket connection, OutputStream out) throws IOException {
        switch (request.path()) {
            case "/v1/rows-get" -> send(out, 200, "", get(request.query("table"), request.query("from")));
            case "/v1/rows-feed" -> send(out, 200, "", feed(request));
            case "/v1/rows-tx" -> transact(request, out);
            default -> send(out, 404, "", "{}");
        }
        return true;
    }

    private static Map<String, Object> row(String table, String key, String value, long version) {
        Map<String, Object> row = Json.of("table", table, "part", "", "key", key);
        if (value == null) row.put("removed", true);
        else row.put("value", value);
        row.put("row_version", version);
        return row;
    }

    private long nowMillis() {
        return 50_000 + (System.nanoTime() - startedAt) / 1_000_000;
    }

    private synchronized String get(String table, String from) {
        List<Object> rows = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).tailMap(from == null ? "" : from, true)
            .forEach((key, row) -> rows.add(row(table, key, row.value, row.version)));
        return Json.write(Json.of("rows", rows, "has_more", false, "row_version", version, "now_ms", nowMillis()));
    }

    private synchronized String feed(Message request) {
        long after = Long.parseLong(request.query("after"));
        long end = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
        while (true) {
            List<Object> rows = new ArrayList<>();
            for (Change change : changes) {
                if (change.version > after && change.table.equals(request.query("table"))) {
                    rows.add(row(change.table, change.key, change.value, change.version));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return Json.write(Json.of("rows", rows, "row_version", version, "now_ms", nowMillis()));
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return "{}";
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void transact(Message request, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(new String(request.body));
        for (Object entry : (List<Object>) body.getOrDefault("precondition", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            Row current = tables.getOrDefault(row.get("table"), new TreeMap<>()).get(row.get("key"));
            if ((current == null ? 0 : current.version) != (Long) row.get("row_version")) {
                send(out, 412, "", Json.write(Json.of("rows", List.of(), "now_ms", nowMillis())));
                return;
            }
        }
        version++;
        for (String kind : List.of("writes", "remove")) {
            for (Object entry : (List<Object>) body.getOrDefault(kind, List.of())) {
                Map<String, Object> row = (Map<String, Object>) entry;
                write((String) row.get("table"), (String) row.get("key"), (String) row.get("value"));
            }
        }
        send(out, 200, "", Json.write(Json.of("row_version", version, "now_ms", nowMillis())));
    }
}
