package review;
import java.nio.file.Path;
final class Probe {
    public static void main(String[] args) throws Exception {
        History record = new History(Path.of("/tmp/probe.txt"));
        try (Setup setup = new Setup(record)) {
            setup.configure(7, Setup.route("swap", "non_idempotent", Setup.SERVICE, 4000, 1, false), Setup.LIMITS, Setup.TENANT);
            setup.addReplica("i-1", Setup.SERVICE, Replica.answerAfter(20));
            for (int ms : new int[] {50, 100, 150, 200, 250, 300, 400}) {
                Setup.Gateway g = setup.addGateway("edge-" + ms);
                g.start(true);
                Setup.sleep(ms);
                g.signal("HUP");
                Setup.sleep(1500);
                System.out.println(ms + " alive " + g.isAlive() + " ready " + g.isReady());
            }
        }
        System.exit(0);
    }
}
