import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the command of the deploy file and a settings file made from its template. */
final class Gateway implements AutoCloseable {
    final String name;
    final int callersPort;
    private final int readinessPort;
    private final Process process;

    /**
     * Starts gateway [name] on [host], a loopback address of its own; gateways share their peer port.
     *
     * @param bounds bounds of the site file's sheet, as lines of the settings.
     */
    Gateway(String name, String host, int peerPort, Path folder, String storeAddress, String bounds)
        throws IOException {
        int[] ports = freePorts(host, 3);
        this.name = name;
        this.host = host;
        callersPort = ports[0];
        readinessPort = ports[1];
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, "instance: \"" + name + "\"\ndata-centre: \"fukuoka-a\"\nfirst-start: true\n"
            + "listen:\n  callers: \"" + host + ":" + ports[0] + "\"\n  readiness: \"" + host + ":" + ports[1]
            + "\"\n  metrics: \"" + host + ":" + ports[2] + "\"\npeer-port: " + peerPort + "\nstore: \""
            + storeAddress + "\"\nprefill-tokens-per-ms: 45\ncontracts: \"base,drain,config,cost,retry,recover,"
            + "kvcache,stream,engine,tenants,quota,platform\"\nbounds:\n" + bounds);
        List<String> command = new ArrayList<>(Arrays.asList(
            runLine().replace("{{listen.frontend}}", host + ":" + ports[0]).split(" ")));
        command.add(settings.toString());
        process = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile()).start();
    }

    final String host;

    /** Waits until the gateway reports that it is ready; returns false if it doesn't. */
    boolean awaitReady(long seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady()) return true;
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readinessPort), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(Http.bytes("GET /v1/readiness HTTP/1.1\r\nHost: g\r\n\r\n"));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal, such as STOP, CONT or TERM, to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int[] freePorts(String host, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    private static String runLine() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream().filter(it -> it.startsWith("run = "))
            .findFirst().orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }
}
