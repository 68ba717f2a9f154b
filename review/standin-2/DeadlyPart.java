import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each replica that has begun to write an answer on it. Sound requests of the same route
 * must still begin half as often as without it.
 */
final class DeadlyPart {
    private static final String DEADLY_PART = "dead1234";
    private static final long CONTACT_MILLIS = 3000;
    private static final long DOWN_MILLIS = 4000;
    private static final int REPLICAS = 8;

    /** Replica that crashes after the first event of an answer to a prompt with the deadly part. */
    private static final class FragileReplica extends Replica {
        private final Deployment deployment;
        private final int events;

        FragileReplica(String address, String id, Deployment deployment, int events) throws IOException {
            super(address, id, "petal-lm", "m0", 1, deployment.store, deployment.record);
            this.deployment = deployment;
            this.events = events;
        }

        @Override
        void respond(Message request, String attempt, int tokens, OutputStream out) throws IOException {
            if (!Deployment.HAS_TROUBLE || !request.field("X-Prompt-Prefix").contains(DEADLY_PART)) {
                super.respond(request, attempt, tokens, out);
                return;
            }
            pause(tokens / 50 + 6);
            if (events >= 0) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt + "\r\n\r\n")
                    .getBytes());
                String last = request.field("Last-Event-Id");
                int first = last == null ? 1 : Integer.parseInt(last) + 1;
                for (int i = 0; i < events; i++) chunk(out, event(attempt, first + i));
                pause(6);
            }
            crash();
            daemon(this::startAgain);
            throw new IOException("crashed");
        }

        private void startAgain() {
            pause(DOWN_MILLIS);
            try {
                deployment.add(new FragileReplica(address, "i-" + NEXT_ID.incrementAndGet(), deployment, events));
            } catch (IOException e) {
                deployment.record.line("the replica at %s could not start again: %s", address, e);
            }
        }
    }

    private static final AtomicInteger NEXT_ID = new AtomicInteger(2000);

    public static void main(String[] arguments) {
        int events = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 1;
        Cases.run(arguments[0], deployment -> play(deployment, events));
    }

    private static boolean play(Deployment deployment, int events) throws Exception {
        deployment.configure(3,
            List.of(Deployment.route("r-1", "/notes/", "streaming", "petal-lm", 15000, 2, true)),
            List.of(Deployment.modelService("petal-lm", "m0")),
            List.of(Deployment.tenant("florist", false, "key-of-florist")));
        deployment.nameWeights("m0", 1);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new FragileReplica(deployment.nextHost(), "i-" + NEXT_ID.incrementAndGet(), deployment,
                events));
        }
        deployment.start(2);
        Replica.pause(CONTACT_MILLIS + 1500);
        AtomicInteger beforeSent = new AtomicInteger();
        AtomicInteger beforeBegun = new AtomicInteger();
        for (int i = 0; i < 100; i++) {
            send(deployment, "before-" + i, "5c1e07a2:800,91bd3f06:410,e" + i + ":250", i, beforeSent, beforeBegun);
            Replica.pause(50);
        }
        AtomicInteger ignored = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger();
        long fifthCrashAt = 0;
        long begin = deployment.record.millis();
        for (int i = 0; deployment.record.millis() < begin + 30_000; i++) {
            if (i % 8 == 0) {
                send(deployment, "deadly-" + i, "5c1e07a2:800," + DEADLY_PART + ":410,d" + i + ":250", i / 8, ignored,
                    ignored);
            }
            long crashes = deployment.replicas.stream().filter(replica -> !replica.isRegistering).count();
            if (fifthCrashAt == 0 && (crashes >= 5 || deployment.record.millis() > begin + 10_000)) {
                fifthCrashAt = deployment.record.millis();
                deployment.record.line("%d crashes", crashes);
            }
            boolean counts = fifthCrashAt > 0 && deployment.record.millis() > fifthCrashAt + 2 * CONTACT_MILLIS;
            send(deployment, "sound-" + i, "5c1e07a2:800,91bd3f06:410,f" + i + ":250", i, counts ? sent : ignored,
                counts ? begun : ignored);
            Replica.pause(50);
        }
        Replica.pause(16_000);
        if (beforeSent.get() < 20 || sent.get() < 20) throw new IllegalStateException("too few sound requests");
        double shareBefore = (double) beforeBegun.get() / beforeSent.get();
        double share = (double) begun.get() / sent.get();
        long crashes = deployment.replicas.stream().filter(replica -> !replica.isRegistering).count();
        deployment.record.line("begun before: %d of %d; begun later than 2 x contact_ms after the fifth crash: %d of %d;"
            + " crashes: %d", beforeBegun.get(), beforeSent.get(), begun.get(), sent.get(), crashes);
        System.out.printf("before %.3f, after %.3f, crashes %d%n", shareBefore, share, crashes);
        return share >= shareBefore / 2;
    }

    private static void send(Deployment deployment, String attempt, String prefix, int number, AtomicInteger sent,
        AtomicInteger begun) {
        Gateway gateway = deployment.gateways.get(number % deployment.gateways.size());
        sent.incrementAndGet();
        Listener.daemon(() -> {
            String fields = Deployment.generation(attempt, "key-of-florist", "m0", prefix, 20, 15_000);
            try (Client client = new Client(gateway.callers, 16_000)) {
                Client.Answer answer = deployment.exchange(client, attempt,
                    Client.request("POST", "/notes/2f", Deployment.HOST, fields, "{}"));
                if (answer.status == 200 && answer.body.startsWith("id: 1\n")) begun.incrementAndGet();
            } catch (IOException e) {
                deployment.record.line("not answered attempt=%s %s", attempt, e);
            }
        });
    }
}
