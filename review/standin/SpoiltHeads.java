package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: half of the replicas spoil a few of their answers: one byte of the head is wrong, so that the bytes are no
 * response in HTTP. The heads that clients get are checked for the syntax of HTTP/1.1.
 */
final class SpoiltHeads {
    private static final int CLIENTS = 12;
    private static final int SECONDS = 25;

    // Largest share of answers that the days of the site name for this kind of disruption.
    private static final double SPOILT_SHARE = 0.05;

    private SpoiltHeads() {
    }

    /** Returns what is wrong with the head of an answer, or null if it is one in the protocol. */
    private static String fault(String head) {
        String[] lines = head.split("\r\n", -1);
        if (!lines[0].matches("HTTP/1\\.1 [1-9]\\d\\d( .*)?")) return "status line: " + lines[0];
        int lengths = 0;
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = colon < 0 ? lines[i] : lines[i].substring(0, colon);
            if (colon < 0 || !name.matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) return "no field line: '" + lines[i] + "'";
            if (name.equalsIgnoreCase("Content-Length")) lengths++;
        }
        return lengths > 1 ? "two lengths" : null;
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) throw new IOException("the connection was closed without an answer");
            bytes.write(c);
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) return text.substring(0, text.length() - 4);
        }
    }

    public static void main(String[] args) throws Exception {
        History record = new History(Path.of(args[0], "record.txt"));
        AtomicInteger requests = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        int exit;
        try (Setup setup = new Setup(record)) {
            setup.configure(7, Setup.route("swap", "non_idempotent", Setup.SERVICE, 4000, 1, false), Setup.LIMITS,
                Setup.TENANT);
            Replica.Work sound = Replica.answerAfter(20);
            Replica.Work faulty = (replica, request, socket, out) -> {
                ThreadLocalRandom random = ThreadLocalRandom.current();
                if (!Setup.isTroubled() || random.nextDouble() >= SPOILT_SHARE) {
                    return sound.run(replica, request, socket, out);
                }
                Setup.sleep(20);
                String id = request.header("X-Attempt-Id");
                byte[] body = ("{\"ran\":\"" + Replica.digest(request.body()) + "\"}").getBytes();
                String separator = random.nextBoolean() ? "; " : " : ";
                String head = "HTTP/1.1 200 OK\r\n" + Replica.head(id) + "Content-Length" + separator + body.length;
                spoilt.incrementAndGet();
                record.add("spoilt", "id=" + id + " 'Content-Length" + separator + body.length + "'");
                out.write((head + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
                return false;
            };
            for (int i = 1; i <= 4; i++) setup.addReplica("i-" + i, Setup.SERVICE, i <= 2 ? faulty : sound);
            Setup.Gateway gateway = setup.addGateway("edge-1");
            gateway.start(true);
            gateway.awaitReady();
            Setup.sleep(1000);
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            Thread[] threads = new Thread[CLIENTS];
            for (int c = 0; c < CLIENTS; c++) {
                int number = c;
                threads[c] = Http.daemon(() -> {
                    for (int n = 0; System.nanoTime() < end; n++) {
                        Setup.sleep(150);
                        String id = String.format("%04x%012x", number, n);
                        requests.incrementAndGet();
                        record.add("send", "id=" + id);
                        try (Socket socket = gateway.connect()) {
                            socket.setSoTimeout(6000);
                            Http.write(socket.getOutputStream(), "POST /swap/2f HTTP/1.1", Setup.fields(id, 4000),
                                id.getBytes());
                            String head = readHead(new BufferedInputStream(socket.getInputStream()));
                            String fault = fault(head);
                            record.add("answer", "id=" + id + " " + head.replace("\r\n", " | "));
                            if (fault == null) continue;
                            broken.incrementAndGet();
                            record.add("NO ANSWER IN THE PROTOCOL", "id=" + id + " " + fault);
                        } catch (IOException e) {
                            record.add("answer", "id=" + id + " none: " + e.getMessage());
                        }
                    }
                });
            }
            for (Thread thread : threads) thread.join();
            String result = requests + " requests; " + spoilt + " answers of replicas spoilt; " + broken
                + " answers of the gateway are none in the protocol";
            record.add("result", result);
            System.out.println(result);
            boolean hasRun = requests.get() > 100 && (spoilt.get() > 0 || !Setup.isTroubled());
            exit = broken.get() > 0 ? 1 : hasRun ? 0 : 2;
        } catch (IOException e) {
            System.out.println("the case couldn't run: " + e);
            exit = 2;
        }
        record.close();
        System.exit(exit);
    }
}
