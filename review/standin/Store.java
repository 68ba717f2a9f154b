package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: rows, conditional transactions and the feed of changes. */
final class Store {
    private record Row(String table, String key, String value, long version, boolean isRemoved) {
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 100;

    /** While true, calls get 503, which says that nothing was done. */
    volatile boolean isDown;

    Store(String ip, int port) throws IOException {
        Http.serve(ip, port, this::handle);
    }

    /** Writes as the operator or a replica does; the return is the acknowledgement. */
    synchronized void put(String table, String key, String value) {
        apply(new Row(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++version, false));
    }

    synchronized void remove(String table, String key) {
        apply(new Row(table, key, "", ++version, true));
    }

    private void apply(Row row) {
        String id = row.table + "\u0000" + row.key;
        if (row.isRemoved) rows.remove(id);
        else rows.put(id, row);
        history.add(row);
        notifyAll();
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String[] target = request.start().split(" ")[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        if (isDown) {
            Http.write(out, "HTTP/1.1 503 Service Unavailable", "Content-Type: application/json\r\n", "{}".getBytes());
            return true;
        }
        int status = 200;
        Map<String, Object> answer;
        switch (target[0]) {
            case "/v1/rows-get" -> answer = get(query);
            case "/v1/rows-feed" -> answer = feed(query);
            case "/v1/rows-tx" -> {
                answer = transact(request.text());
                if (answer.containsKey("rows")) status = 412;
            }
            default -> {
                status = 404;
                answer = Map.of();
            }
        }
        Http.write(out, "HTTP/1.1 " + status + " X", "Content-Type: application/json\r\n",
            Json.write(answer).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private Map<String, Object> answer() {
        Map<String, Object> answer = new HashMap<>();
        answer.put("row_version", version);
        answer.put("now_ms", System.nanoTime() / 1_000_000);
        return answer;
    }

    private Map<String, Object> describe(Row row) {
        Map<String, Object> fields = new HashMap<>(Map.of("table", row.table, "part", "", "key", row.key,
            "row_version", row.version));
        if (row.isRemoved) fields.put("removed", true);
        else fields.put("value", row.value);
        return fields;
    }

    private synchronized Map<String, Object> get(Map<String, String> query) {
        Map<String, Object> answer = answer();
        List<Object> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean isInRange = row.key.compareTo(query.getOrDefault("from", "")) >= 0;
            if (row.table.equals(query.get("table")) && isInRange) found.add(describe(row));
        }
        answer.put("rows", found);
        answer.put("has_more", false);
        return answer;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Row row : history) {
                if (row.version > after && row.table.equals(query.get("table"))) found.add(describe(row));
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                Map<String, Object> answer = answer();
                answer.put("rows", found);
                return answer;
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Map<String, Object> transact(String body) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(body);
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object item : (List<Object>) call.get("precondition")) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Row row = rows.get(condition.get("table") + "\u0000" + condition.get("key"));
            holds &= (row == null ? 0L : row.version) == (Long) condition.get("row_version");
            if (row != null) current.add(describe(row));
        }
        Map<String, Object> answer = answer();
        if (!holds) {
            answer.put("rows", current);
            return answer;
        }
        version++;
        for (Object item : (List<Object>) call.get("writes")) {
            Map<String, Object> write = (Map<String, Object>) item;
            apply(new Row((String) write.get("table"), (String) write.get("key"), (String) write.get("value"), version,
                false));
        }
        for (Object item : (List<Object>) call.get("remove")) {
            Map<String, Object> removal = (Map<String, Object>) item;
            apply(new Row((String) removal.get("table"), (String) removal.get("key"), "", version, true));
        }
        answer.put("row_version", version);
        return answer;
    }
}
