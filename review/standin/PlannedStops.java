package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Case: gateways get SIGTERM while clients have kept connections. Each client sends its next request about when the
 * process ends. A request counts as lost if the gateway has read it, so that the end of the process closes the
 * connection without a reset, and if it was sent more than 200 ms before the connection ended without an answer.
 */
final class PlannedStops {
    private static final int GATEWAYS = 6;
    private static final int CLIENTS_PER_GATEWAY = 12;
    private static final int MAX_STOPS = 26;
    private static final long MAX_MILLIS = 96_000;

    // The gateway refuses requests from 2.5 s after SIGTERM on and ends soon after, if no request is open.
    private static final double FIRST_SEND_MILLIS = 2_500;
    private static final double SEND_SPREAD_MILLIS = 110;
    private static final long LOSS_SLACK_MILLIS = 200;

    private PlannedStops() {
    }

    public static void main(String[] args) throws Exception {
        History record = new History(Path.of(args[0], "record.txt"));
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unread = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        int stops = 0;
        int exit;
        try (Setup setup = new Setup(record)) {
            setup.configure(7, Setup.route("swap", "non_idempotent", Setup.SERVICE, 4000, 1, false), Setup.LIMITS,
                Setup.TENANT);
            for (int i = 1; i <= 3; i++) setup.addReplica("i-" + i, Setup.SERVICE, Replica.answerAfter(20));
            List<Setup.Gateway> gateways = new ArrayList<>();
            for (int g = 1; g <= GATEWAYS; g++) gateways.add(setup.addGateway("edge-" + g));
            Random random = new Random(1);
            for (; stops < MAX_STOPS && record.millis() < MAX_MILLIS; stops++) {
                boolean starts = stops == 0 || Setup.isTroubled();
                if (starts) for (Setup.Gateway gateway : gateways) gateway.start(stops == 0);
                for (Setup.Gateway gateway : gateways) gateway.awaitReady();
                Setup.sleep(700);
                List<Thread> threads = new ArrayList<>();
                long[] signalledAt = new long[GATEWAYS];
                for (int g = 0; g < GATEWAYS; g++) {
                    int number = g;
                    Setup.Gateway gateway = gateways.get(g);
                    for (int c = 0; c < CLIENTS_PER_GATEWAY; c++) {
                        String id = String.format("%02x%02x%04x", stops, g, c);
                        double sendAfter = FIRST_SEND_MILLIS + random.nextDouble() * SEND_SPREAD_MILLIS;
                        threads.add(Http.daemon(() -> {
                            try (Socket socket = gateway.connect()) {
                                socket.setSoTimeout(8000);
                                InputStream in = new BufferedInputStream(socket.getInputStream());
                                Http.write(socket.getOutputStream(), "POST /swap/2f HTTP/1.1",
                                    Setup.fields(id + "00000000", 4000), new byte[600]);
                                Http.Message first = Http.read(in, false);
                                if (first == null || first.status() != 200) return;
                                while (signalledAt[number] == 0) Setup.sleep(5);
                                long sendAt = signalledAt[number] + (long) (sendAfter * 1e6);
                                while (System.nanoTime() < sendAt) LockSupport.parkNanos(sendAt - System.nanoTime());
                                sendNext(record, socket, in, id + "00000001", requests, answered, unread, lost);
                            } catch (IOException e) {
                                record.add("none", "id=" + id + " " + e.getMessage());
                            }
                        }));
                    }
                }
                Setup.sleep(800);
                for (int g = 0; g < GATEWAYS; g++) {
                    if (Setup.isTroubled()) gateways.get(g).signal("TERM");
                    signalledAt[g] = System.nanoTime();
                }
                for (Thread thread : threads) thread.join();
                if (Setup.isTroubled()) {
                    for (Setup.Gateway gateway : gateways) while (gateway.isAlive()) Setup.sleep(5);
                }
            }
            String result = stops * GATEWAYS + " stops, " + requests + " requests after SIGTERM: " + answered
                + " answered, " + unread + " reset or closed unread, " + lost
                + " read and left without an answer for over " + LOSS_SLACK_MILLIS + " ms";
            record.add("result", result);
            System.out.println(result);
            exit = lost.get() > 0 ? 1 : requests.get() > 100 ? 0 : 2;
        } catch (IOException e) {
            System.out.println("the case couldn't run: " + e);
            exit = 2;
        }
        record.close();
        System.exit(exit);
    }

    private static void sendNext(History record, Socket socket, InputStream in, String id, AtomicInteger requests,
        AtomicInteger answered, AtomicInteger unread, AtomicInteger lost) {
        requests.incrementAndGet();
        long sentAt = 0;
        try {
            Http.write(socket.getOutputStream(), "POST /swap/2f HTTP/1.1", Setup.fields(id, 4000), new byte[600]);
            sentAt = System.nanoTime();
            record.add("send", "id=" + id);
            Http.Message answer = Http.read(in, false);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (answer != null) {
                answered.incrementAndGet();
                record.add("answer", "id=" + id + " " + answer.start());
            } else if (millis > LOSS_SLACK_MILLIS) {
                lost.incrementAndGet();
                record.add("LOST", "id=" + id + " the connection ended without a reset and without an answer " + millis
                    + " ms after the request was sent");
            } else {
                unread.incrementAndGet();
                record.add("none", "id=" + id + " closed after " + millis + " ms");
            }
        } catch (IOException e) {
            unread.incrementAndGet();
            long millis = sentAt == 0 ? 0 : (System.nanoTime() - sentAt) / 1_000_000;
            record.add("none", "id=" + id + " " + e.getMessage() + " after " + millis + " ms");
        }
    }
}
