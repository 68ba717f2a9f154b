package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: clients send requests of the sites' mean length, one after the other, on kept connections. Each body that a
 * replica runs is compared with the one that the client sent.
 */
final class KeptConnections {
    // As many gateways as the site has, and two busy clients at each.
    private static final int GATEWAYS = 5;
    private static final int CLIENTS = 10;
    private static final int SECONDS = 80;
    private static final int BODY_BYTES = 18_000;

    private KeptConnections() {
    }

    public static void main(String[] args) throws Exception {
        History record = new History(Path.of(args[0], "record.txt"));
        Map<String, String> sent = new ConcurrentHashMap<>();
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger changed = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        int exit;
        try (Setup setup = new Setup(record)) {
            setup.configure(7, Setup.route("digest", "streaming", Setup.ENGINE, 6000, 1, false), Setup.LIMITS,
                Setup.TENANT);
            Replica.Work work = Replica.stream(5, 16);
            Replica.Work check = (replica, request, socket, out) -> {
                String id = request.header("X-Attempt-Id");
                if (!Replica.digest(request.body()).equals(sent.get(id))) {
                    changed.incrementAndGet();
                    record.add("CHANGED", id + " runs with another body than " + sent.get(id));
                }
                return work.run(replica, request, socket, out);
            };
            for (int i = 1; i <= 4; i++) setup.addReplica("i-" + i, Setup.ENGINE, check);
            List<Setup.Gateway> gateways = new ArrayList<>();
            for (int g = 1; g <= GATEWAYS; g++) gateways.add(setup.addGateway("edge-" + g));
            for (Setup.Gateway gateway : gateways) gateway.start(true);
            for (Setup.Gateway gateway : gateways) gateway.awaitReady();
            Setup.sleep(1000);
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            Thread[] threads = new Thread[CLIENTS];
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                threads[c] = Http.daemon(() -> {
                    Client client = new Client(gateways.get(number % GATEWAYS), Setup.isTroubled(), 8000);
                    Random random = new Random(number);
                    for (int n = 0; System.nanoTime() < end; n++) {
                        String id = String.format("%04x%012x", number, n);
                        byte[] body = new byte[BODY_BYTES];
                        random.nextBytes(body);
                        sent.put(id, Replica.digest(body));
                        requests.incrementAndGet();
                        record.add("send", id + " " + sent.get(id));
                        try {
                            Http.Message answer = client.send("POST /digest/2f HTTP/1.1",
                                Setup.generationFields(id, 6000, 2000, 17), body);
                            if (answer.status() != 200) refused.incrementAndGet();
                            record.add("answer", id + " " + answer.status());
                        } catch (IOException e) {
                            unanswered.incrementAndGet();
                            record.add("answer", id + " none: " + e.getMessage());
                        }
                    }
                });
            }
            for (Thread thread : threads) thread.join();
            String result = requests + " requests; " + changed + " ran with a changed body; " + refused
                + " answers other than 200; " + unanswered + " without an answer";
            record.add("result", result);
            System.out.println(result);
            exit = changed.get() > 0 ? 1 : requests.get() < 100 ? 2 : 0;
        } catch (IOException e) {
            System.out.println("the case couldn't run: " + e);
            exit = 2;
        }
        record.close();
        System.exit(exit);
    }
}
