import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers of one deployment: each request has its deadline and, as on the sheet, one retry at another gateway. */
final class Client {
    /** A kind of request of the sheet. */
    static final class Kind {
        final String name;
        final boolean isIdempotent;
        final int deadlineMillis;
        final String prompt;
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

        Kind(String name, boolean isIdempotent, int deadlineMillis, String prompt) {
            this.name = name;
            this.isIdempotent = isIdempotent;
            this.deadlineMillis = deadlineMillis;
            this.prompt = prompt;
        }

        double servedShare() {
            return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
        }

        String summary() {
            return String.format(Locale.ROOT, "%-14s sent %4d, served %4d (%.3f); final answers %s", name, sent.get(),
                served.get(), servedShare(), new TreeMap<>(answers));
        }
    }

    private static final class Answer {
        final int status;
        final boolean isComplete;
        final double retryAfter;

        Answer(int status, boolean isComplete, double retryAfter) {
            this.status = status;
            this.isComplete = isComplete;
            this.retryAfter = retryAfter;
        }
    }

    private final List<Gateway> gateways;
    private final Record record;

    Client(List<Gateway> gateways, Record record) {
        this.gateways = gateways;
        this.record = record;
    }

    /** Sends a request of [kind], first to gateway number [first], on a thread of its own. */
    void send(Kind kind, int first) {
        Thread thread = new Thread(() -> request(kind, first), "client");
        thread.setDaemon(true);
        thread.start();
    }

    private void request(Kind kind, int first) {
        kind.sent.incrementAndGet();
        long end = System.nanoTime() + kind.deadlineMillis * 1_000_000L;
        Answer answer = attempt(kind, gateways.get(first), end);
        boolean mayRepeat = answer.status == 503 || answer.status == 429 || kind.isIdempotent && answer.status >= 500
            || kind.isIdempotent && !answer.isComplete;
        if (mayRepeat && end > System.nanoTime()) {
            double left = (end - System.nanoTime()) / 1e9;
            sleep(Math.min(answer.retryAfter, left / 3));
            answer = attempt(kind, gateways.get((first + 1) % gateways.size()), end);
        }
        if (answer.isComplete && answer.status == 200) kind.served.incrementAndGet();
        String name = answer.isComplete ? Integer.toString(answer.status) : "none";
        kind.answers.computeIfAbsent(name, it -> new AtomicInteger()).incrementAndGet();
    }

    private Answer attempt(Kind kind, Gateway gateway, long end) {
        String id = String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
        long left = Math.max(1, (end - System.nanoTime()) / 1_000_000);
        double sentAt = record.seconds();
        Answer answer = exchange(kind, gateway, id, left);
        record.write("client: %s %s sent at %.3f to %s: %s", kind.name, id, sentAt, gateway.name,
            answer.isComplete ? Integer.toString(answer.status) : "no complete answer");
        return answer;
    }

    private Answer exchange(Kind kind, Gateway gateway, String id, long leftMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.host, gateway.callersPort), 1000);
            socket.setSoTimeout((int) leftMillis);
            String fields = "Host: caller.example\r\nAuthorization: Bearer key\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + leftMillis + "\r\n" + kind.prompt.replace("ID", id);
            socket.getOutputStream().write(Http.bytes("POST /" + kind.name + "/a HTTP/1.1\r\n" + fields
                + "Content-Length: 2\r\n\r\n{}"));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            if (head == null) return new Answer(0, false, 0);
            Http.readBody(in, head);
            double retryAfter = head.field("retry-after").isEmpty() ? 0 : Double.parseDouble(head.field("retry-after"));
            return new Answer(head.status(), true, retryAfter);
        } catch (IOException e) {
            return new Answer(0, false, 0);
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (Math.max(0, seconds) * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
