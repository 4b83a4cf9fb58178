import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback: the store's stand-in, and machines with a node process and an instance each. */
final class Bench {
    /** Bounds of the site sheets, in milliseconds. */
    static final long CONTACT = 3000, DRAIN = 2000, CONFIG_APPLY = 2000, HEARTBEAT = 1500;
    static final String HOST = "shop.example";

    final Record record;
    final boolean trouble;
    final Path temp;
    final String prefix;
    final PlatformStandIn platform;
    final String platformAddress;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Address of the store in the settings of the nodes; a case may put a proxy there. */
    String storeAddress;

    private final int outbound, inbound, ready, control, peer, app;
    private final List<Process> processes = new ArrayList<>();

    Bench(Record record, boolean trouble, String... names) throws IOException {
        this.record = record;
        this.trouble = trouble;
        temp = Files.createTempDirectory("boragelever-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        // Addresses and ports that nothing else uses; the ports are the same on all machines.
        prefix = "127." + (20 + (int) (ProcessHandle.current().pid() % 200)) + "."
            + (1 + (int) (System.nanoTime() / 1000 % 250)) + ".";
        outbound = freePort();
        inbound = freePort();
        ready = freePort();
        control = freePort();
        peer = freePort();
        app = freePort();
        platformAddress = prefix + "250:" + freePort();
        storeAddress = platformAddress;
        platform = new PlatformStandIn(record, host(platformAddress), port(platformAddress));
        int number = 1;
        for (String name : names) {
            machines.put(name, new Machine(name, prefix + number, "r1-" + (number % 2 == 1 ? "a" : "b")));
            number++;
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable work) {
        daemon(work).start();
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host(address), port(address)), timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** One machine: the addresses of its node and of its instance. */
    final class Machine {
        final String name, ip;
        String region = "r1", zone;
        String service = "front";
        Process node;

        Machine(String name, String ip, String zone) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
        }

        String outbound() { return ip + ":" + outbound; }
        String ready() { return ip + ":" + ready; }
        String control() { return ip + ":" + control; }
        String app() { return ip + ":" + app; }

        /** Starts the node with the command and the settings template of the deploy file. */
        void startNode() throws IOException {
            Path settings = temp.resolve(name + ".settings");
            Files.writeString(settings, renderSettings(this));
            List<String> command = new ArrayList<>(List.of(deployField("run").split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(new File(".").getCanonicalFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BORAGELEVER_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
            node = builder.start();
            processes.add(node);
            record.show("node " + name + " started, process " + node.pid());
        }

        void killNode() throws InterruptedException {
            node.destroyForcibly();
            node.waitFor();
            record.show("node " + name + " killed with SIGKILL");
        }

        boolean isReady() {
            try (Socket socket = connect(ready(), 1000)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(Http.bytes("GET /boragelever/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"));
                Http.Head head = Http.readHead(socket.getInputStream());
                return head != null && head.status() == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long end = record.now() + 30_000;
            while (!isReady()) {
                if (record.now() > end) throw new IllegalStateException("node " + name + " did not become ready in 30 s");
                Thread.sleep(50);
            }
            record.line("node " + name + " is ready");
        }
    }

    private static String deployField(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith(name + " = \"")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IllegalStateException("deploy/system.toml has no field " + name);
    }

    private String renderSettings(Machine machine) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node", "sidecar-" + machine.name);
        values.put("region", machine.region);
        values.put("zone", machine.zone);
        values.put("provider.address", storeAddress);
        values.put("ip", machine.ip);
        values.put("listen.outbound", machine.outbound());
        values.put("listen.inbound", machine.ip + ":" + inbound);
        values.put("listen.ready", machine.ready());
        values.put("listen.control", machine.control());
        values.put("heartbeat", HEARTBEAT + "ms");
        values.put("portRange.0", "" + peer);
        values.put("service", machine.service);
        values.put("bounds.grace", "6s");
        values.put("bounds.retrySlack", "64");
        values.put("bounds.retryRatio", "0.2");
        String template = Files.readString(Path.of(deployField("template")));
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(template);
        StringBuilder text = new StringBuilder();
        while (matcher.find()) matcher.appendReplacement(text, values.getOrDefault(matcher.group(1), ""));
        matcher.appendTail(text);
        return text.toString();
    }

    static String route(String name, String prefix, String kind, String target, String timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout\":\"" + timeout + "\",\"slo\":\"500ms\",\"priority\":2,\"service\":\"" + target
            + "\",\"attempts\":3}";
    }

    static String config(long version, List<String> routes, String... services) {
        List<String> entries = new ArrayList<>();
        for (String service : services) {
            entries.add("{\"name\":\"" + service + "\",\"healthPath\":\"/health\",\"maxConns\":130}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", entries) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":8388608,"
            + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
    }

    /** Ends all processes that were started and removes the temporary folder, but keeps it if KEEP_LOGS is set. */
    void close() {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + temp);
            return;
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // The folder is temporary.
        }
    }
}
