import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All model replicas crash and start again some seconds later. Shortly after the crash, all processes of the system are
 * killed and start again. Later than recovery_s after that, a quarter of the requests must be served. No request has
 * a part that crashes replicas.
 */
final class ReplicaOutage {
    private static final long REPLICAS_DOWN_MILLIS = 4500;
    private static final long KILL_AFTER_MILLIS = 3000;
    private static final long PROCESSES_DOWN_MILLIS = 1200;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int REPLICAS = 8;
    private static final int CLIENTS = 60;
    private static final int READ_TOKENS_PER_MILLI = 50;

    /** Model replica that reads one prompt at a time, so that prompts wait for their turn under load. */
    private static final class ReadingReplica extends Replica {
        private final Object reading = new Object();

        ReadingReplica(Deployment deployment, String address, String id) throws IOException {
            super(address, id, "petal-lm", "m0", 1, deployment.store, deployment.record);
        }

        @Override
        void respond(Message request, String attempt, int tokens, OutputStream out) throws IOException {
            synchronized (reading) {
                pause(tokens / READ_TOKENS_PER_MILLI);
            }
            super.respond(request, attempt, 0, out);
        }
    }

    private record Sent(long at, boolean isServed) {}

    private final Deployment deployment;
    private final AtomicInteger number = new AtomicInteger();
    private final List<Sent> requests = new ArrayList<>();

    private ReplicaOutage(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) {
        Cases.run(arguments[0], deployment -> new ReplicaOutage(deployment).play());
    }

    private boolean play() throws Exception {
        var tenant = Deployment.tenant("florist", false, "key-of-florist");
        // No limit.
        tenant.put("rate_per_s", 0);
        tenant.put("burst", 0);
        List<Object> routes = List.of(Deployment.route("r-1", "/digest/", "streaming", "petal-lm", 6000, 1, false));
        List<Object> services = List.of(Deployment.modelService("petal-lm", "m0"));
        deployment.configure(3, routes, services, List.of(tenant));
        deployment.nameWeights("m0", 1);
        for (int i = 0; i < REPLICAS; i++) {
            deployment.add(new ReadingReplica(deployment, deployment.nextHost(), "i-" + (1000 + i)));
        }
        deployment.start(2);
        Replica.pause(2000);
        long begin = deployment.record.millis();
        long end = begin + 60_000;
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Listener.daemon(() -> request(client, end));
        }
        Replica.pause(10_000);
        long faultAt = deployment.record.millis();
        long backAt = faultAt;
        if (Deployment.HAS_TROUBLE) {
            List<Replica> crashed = List.copyOf(deployment.replicas);
            crashAll(crashed);
            Listener.daemon(() -> startAgain(crashed));
            Replica.pause(KILL_AFTER_MILLIS);
            // The final fault strikes immediately after a configuration is acknowledged.
            deployment.configure(7, routes, services, List.of(tenant));
            for (Gateway gateway : deployment.gateways) gateway.kill();
            deployment.record.line("all processes killed");
            Replica.pause(PROCESSES_DOWN_MILLIS);
            for (Gateway gateway : deployment.gateways) gateway.start();
            backAt = Math.max(deployment.record.millis(), faultAt + REPLICAS_DOWN_MILLIS);
            deployment.record.line("all processes started");
        }
        while (deployment.record.millis() < end + 1000) Replica.pause(100);
        double before = served(begin, faultAt);
        double after = served(backAt + RECOVERY_MILLIS, end);
        for (Gateway gateway : deployment.gateways) {
            for (String line : gateway.logLines("part_quarantined")) deployment.record.line("log: %s", line);
            deployment.record.line("%s refused %d requests because of a quarantined part", gateway.name,
                gateway.logLines("request_quarantined").size());
        }
        deployment.record.line("served before the fault: %.3f; sent later than recovery_s after it: %.3f", before,
            after);
        System.out.printf("before %.3f, after %.3f%n", before, after);
        return after >= 0.25 || before < 0.25;
    }

    private static void crashAll(List<Replica> replicas) {
        CyclicBarrier start = new CyclicBarrier(replicas.size());
        for (Replica replica : replicas) {
            Listener.daemon(() -> {
                try {
                    start.await();
                } catch (InterruptedException | BrokenBarrierException e) {
                    throw new IllegalStateException(e);
                }
                replica.crash();
            });
        }
    }

    private void startAgain(List<Replica> crashed) {
        Replica.pause(REPLICAS_DOWN_MILLIS);
        try {
            for (Replica replica : crashed) {
                String id = "i-" + (3000 + deployment.replicas.size());
                deployment.add(new ReadingReplica(deployment, replica.address, id));
            }
            deployment.record.line("all replicas are back");
        } catch (IOException e) {
            deployment.record.line("the replicas could not start again: %s", e);
        }
    }

    private synchronized double served(long from, long to) {
        List<Sent> sent = requests.stream().filter(request -> request.at >= from && request.at < to).toList();
        return sent.isEmpty() ? 0 : (double) sent.stream().filter(Sent::isServed).count() / sent.size();
    }

    // All prompts begin with the same system prompt, followed by the data of one of five applications.
    private void request(int client, long end) {
        while (deployment.record.millis() < end) {
            int id = number.incrementAndGet();
            Gateway gateway = deployment.gateways.get(client % deployment.gateways.size());
            String fields = Deployment.generation("digest-" + id, "key-of-florist", "m0",
                "5c1e07a2:800,91bd3f0" + client % 5 + ":5500,e" + id + ":2890", 17, 6000);
            long at = deployment.record.millis();
            boolean isServed = false;
            double retryAfter = 0.2;
            try (Client connection = new Client(gateway.callers, 8000)) {
                Client.Answer answer = deployment.exchange(connection, "digest-" + id,
                    Client.request("POST", "/digest/2f", Deployment.HOST, fields, "{}"));
                isServed = answer.status == 200 && answer.fault == null;
                String field = answer.head == null ? null : answer.head.field("Retry-After");
                if (field != null) retryAfter = Math.min(2.0, Double.parseDouble(field));
            } catch (IOException e) {
                deployment.record.line("no connection for digest-%d: %s", id, e);
            }
            synchronized (this) {
                requests.add(new Sent(at, isServed));
            }
            Replica.pause(isServed ? 20 : (long) (1000 * retryAfter));
        }
    }
}
