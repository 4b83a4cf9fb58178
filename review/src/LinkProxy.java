import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** TCP proxy in front of one address. It can delay the bytes of a connection or make open connections go silent. */
final class LinkProxy {
    private static final class Link {
        volatile boolean silent;
    }

    private final String target;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    final String address;
    /** Delay of the next connections from their acceptance to their arrival at the target, in milliseconds. */
    volatile long delayMillis;

    LinkProxy(String ip, String target) throws IOException {
        this.target = target;
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        address = ip + ":" + server.getLocalPort();
        Bench.start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    long delay = delayMillis;
                    Bench.start(() -> forward(socket, delay));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    /** Open connections carry nothing any more and are not closed; new ones work. Returns how many there are. */
    int silence() {
        for (Link link : links) link.silent = true;
        return links.size();
    }

    private void forward(Socket client, long delay) {
        Link link = new Link();
        Socket server = null;
        try {
            client.setTcpNoDelay(true);
            Instance.sleep(delay);
            server = Bench.connect(target, 1000);
            links.add(link);
            Socket to = server;
            Thread back = Bench.daemon(() -> pump(to, client, link));
            back.start();
            pump(client, server, link);
            back.join();
        } catch (IOException | InterruptedException failure) {
            close(client);
        } finally {
            links.remove(link);
            if (server != null) close(server);
            close(client);
        }
    }

    private static void pump(Socket from, Socket to, Link link) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (count < 0) break;
                if (!link.silent) out.write(buffer, 0, count);
            }
            if (!link.silent) to.shutdownOutput();
        } catch (IOException failure) {
            if (!link.silent) {
                close(from);
                close(to);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
