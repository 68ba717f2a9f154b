package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/** Stand-in of one replica; it registers itself in the store and records what it runs. */
final class Replica {
    /** Runs a request; the head of the answer carries the id and the signature of the page. */
    interface Work {
        boolean run(Replica replica, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException;
    }

    static final String MODEL = "daka510000";
    final String id;
    final String service;
    final String address;
    private final boolean isModel;
    private final Store store;
    private final History record;
    private final Work work;
    volatile String state = "ready";
    private final long born = System.currentTimeMillis();

    Replica(String id, String service, boolean isModel, String ip, int port, Store store, History record, Work work)
        throws IOException {
        this.id = id;
        this.service = service;
        this.isModel = isModel;
        this.address = ip + ":" + port;
        this.store = store;
        this.record = record;
        this.work = work;
        Http.serve(ip, port, this::handle);
        Http.daemon(() -> {
            while (true) {
                register();
                Setup.sleep(1200);
            }
        });
    }

    private void register() {
        store.put("servers", id, "{\"backend\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"z-a\","
            + "\"version\":\"v1\",\"slots\":" + (isModel ? 64 : 6) + ",\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":0"
            + (isModel ? ",\"stage\":\"prefill_decode\"," + models() : "") + "}");
    }

    private String models() {
        return "\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}]";
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out)
        throws IOException, InterruptedException {
        String target = request.start().split(" ")[1];
        String id = request.header("X-Attempt-Id");
        if (id == null) {
            String body = "{}";
            if (target.startsWith("/v1/report")) {
                body = "{\"stage\":\"prefill_decode\"," + models() + ",\"busy\":false,\"sequence\":0,\"queued\":0,"
                    + "\"running\":0,\"kv_used\":0,\"kv_total\":116035,\"handles\":0,\"born\":" + born + "}";
            } else if (target.startsWith("/v1/kv-events")) {
                String wait = request.header("Wait-Ms");
                Setup.sleep(wait == null ? 0 : Long.parseLong(wait));
                body = "{\"epoch\":7,\"next\":1,\"lost\":false,\"events\":[],\"born\":" + born + "}";
            }
            Http.write(out, "HTTP/1.1 200 OK", "Content-Type: application/json\r\n", body.getBytes());
            return true;
        }
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(this.id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request", "X-Instance-Id: " + this.id + "\r\n", new byte[0]);
            return true;
        }
        record.add("run", id + " " + this.id + " " + request.body().length + " " + digest(request.body()));
        return work.run(this, request, socket, out);
    }

    static String head(String id) {
        return "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + id + ".sig\r\n";
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)).substring(0, 12);
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers after [millis] with the request's digest as the whole body. */
    static Work answerAfter(long millis) {
        return (replica, request, socket, out) -> {
            Setup.sleep(millis);
            byte[] body = ("{\"ran\":\"" + digest(request.body()) + "\"}").getBytes(StandardCharsets.UTF_8);
            Http.write(out, "HTTP/1.1 200 OK", head(request.header("X-Attempt-Id")), body);
            return true;
        };
    }

    /** Streams [events] events, one every [gapMillis]. */
    static Work stream(int events, long gapMillis) {
        return (replica, request, socket, out) -> {
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + head(request.header("X-Attempt-Id")) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= events; i++) {
                Setup.sleep(gapMillis);
                String event = "id: " + i + "\ndata: piece " + i + " of " + events + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            return true;
        };
    }
}
