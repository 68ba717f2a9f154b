import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings with answers of 1.3 MB, a few at a time, beside streams. For some seconds more users come. Each booking that a
 * replica has run must be answered on the connection that it came on.
 */
final class LargeAnswers {
    private static final int ANSWER_BYTES = 1_300_000;
    private static final int STREAM_CLIENTS = 36;
    private static final int BOOKING_CLIENTS = 4;
    private static final double BURST = 1.7;
    private static final long BURST_MILLIS = 3000;
    private static final int STREAM_TOKENS = 150;
    private static final AtomicInteger NUMBER = new AtomicInteger();

    private final Deployment deployment;
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final java.util.Set<String> executed = ConcurrentHashMap.newKeySet();

    private LargeAnswers(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) {
        Cases.run(arguments[0], deployment -> new LargeAnswers(deployment).play());
    }

    private boolean play() throws Exception {
        deployment.configure(3,
            List.of(Deployment.route("r-1", "/notes/", "streaming", "petal-lm", 15000, 2, true),
                Deployment.route("r-2", "/swap/", "non_idempotent", "rounds-app", 4000, 1, false)),
            List.of(Deployment.modelService("petal-lm", "m0"), Deployment.plainService("rounds-app")),
            List.of(Deployment.tenant("florist", false, "key-of-florist")));
        deployment.nameWeights("m0", 1);
        for (int i = 0; i < 4; i++) deployment.model("petal-lm", "m0", 1);
        for (int i = 0; i < 3; i++) deployment.add(new BookingReplica(deployment.nextHost(), "i-200" + i));
        deployment.start(1);
        Replica.pause(4000);
        long end = deployment.record.millis() + 40_000;
        for (int i = 0; i < STREAM_CLIENTS; i++) Listener.daemon(() -> stream(end));
        for (int i = 0; i < BOOKING_CLIENTS; i++) Listener.daemon(() -> book(end));
        Replica.pause(8000);
        if (Deployment.HAS_TROUBLE) {
            deployment.record.line("burst begins");
            long burstEnd = deployment.record.millis() + BURST_MILLIS;
            for (int i = STREAM_CLIENTS; i < (int) (STREAM_CLIENTS * BURST); i++) Listener.daemon(() -> stream(burstEnd));
            for (int i = BOOKING_CLIENTS; i < (int) (BOOKING_CLIENTS * BURST); i++) Listener.daemon(() -> book(burstEnd));
        }
        while (deployment.record.millis() < end + 2000) Replica.pause(100);
        for (String line : deployment.gateways.get(0).logLines("request_failed")) {
            deployment.record.line("log of the gateway: %s", line);
        }
        deployment.record.line("%d bookings answered; %d that have run ended without an answer", answered.get(),
            lost.get());
        System.out.println(answered + " answered, " + lost + " lost");
        return lost.get() <= 3;
    }

    private void stream(long end) {
        while (deployment.record.millis() < end) {
            try (Client client = new Client(deployment.gateways.get(0).callers, 16_000)) {
                Client.Answer answer = null;
                while (deployment.record.millis() < end && (answer == null || answer.fault == null)) {
                    String attempt = "notes-" + NUMBER.incrementAndGet();
                    String fields = Deployment.generation(attempt, "key-of-florist", "m0",
                        "5c1e07a2:800,e" + attempt.substring(6) + ":50", STREAM_TOKENS, 15_000);
                    answer = deployment.exchange(client, attempt,
                        Client.request("POST", "/notes/2f", Deployment.HOST, fields, "{}"));
                    if (answer.status != 200 || answer.fault != null) Replica.pause(300);
                }
            } catch (IOException e) {
                deployment.record.line("no connection: %s", e);
            }
        }
    }

    private void book(long end) {
        while (deployment.record.millis() < end) {
            try (Client client = new Client(deployment.gateways.get(0).callers, 8000)) {
                Client.Answer answer = null;
                while (deployment.record.millis() < end && (answer == null || answer.fault == null)) {
                    boolean isKept = answer != null;
                    String attempt = "swap-" + NUMBER.incrementAndGet();
                    String fields = Deployment.call(attempt, "key-of-florist", 4000);
                    answer = deployment.exchange(client, attempt,
                        Client.request("POST", "/swap/2f", Deployment.HOST, fields, "{}"));
                    // The rule counts connections that are closed without an answer, and kept ones only.
                    boolean isUnanswered = answer.isClosedUnanswered() && executed.contains(attempt);
                    if (isUnanswered) {
                        deployment.record.line("%s: %s has run and got no answer", isKept ? "LOST" : "NEW CONNECTION",
                            attempt);
                    }
                    if (isUnanswered && isKept) lost.incrementAndGet();
                    if (answer.fault == null) answered.incrementAndGet();
                    Replica.pause(200);
                }
            } catch (IOException e) {
                deployment.record.line("no connection: %s", e);
            }
        }
    }

    private final class BookingReplica extends Replica {
        private final String body = "y".repeat(ANSWER_BYTES);

        BookingReplica(String host, String id) throws IOException {
            super(host, id, "rounds-app", null, 0, deployment.store, deployment.record);
        }

        @Override
        void respond(Message request, String attempt, int tokens, OutputStream out) throws IOException {
            pause(20);
            executed.add(attempt);
            send(out, 200, "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "\r\n", body);
        }
    }
}
