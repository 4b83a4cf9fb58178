import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a client on a machine: sends requests to the outbound address of its node. */
final class Client {
    /** What the client saw: a status with the body, or a failure. */
    record Answer(String id, long sentMillis, long endMillis, int status, String seal, byte[] body, String failure,
        boolean closes) { }

    private static final AtomicLong LAST = new AtomicLong();
    private final Bench bench;
    private final Bench.Machine machine;

    Client(Bench bench, Bench.Machine machine) {
        this.bench = bench;
        this.machine = machine;
    }

    static String newId() {
        return String.format("req%05d", LAST.incrementAndGet());
    }

    /** Sends one request on a new connection and waits for the answer until its deadline. */
    Answer send(String method, String path, int deadlineMillis, String body) {
        String id = newId();
        long sent = bench.record.now();
        Answer answer;
        try (Socket socket = Bench.connect(machine.outbound(), 1000)) {
            answer = send(socket, id, method, path, deadlineMillis, body);
        } catch (IOException failure) {
            answer = new Answer(id, sent, bench.record.now(), 0, null, null, "not connected: " + failure.getMessage(), true);
        }
        log(method, path, answer);
        return answer;
    }

    Answer send(Socket socket, String id, String method, String path, int deadlineMillis, String body) {
        long sent = bench.record.now();
        try {
            socket.setSoTimeout(deadlineMillis);
            String length = body == null ? "" : "Content-Length: " + body.length() + "\r\n";
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Bench.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + length + "\r\n";
            socket.getOutputStream().write(Http.bytes(head + (body == null ? "" : body)));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) throw new IOException("connection closed without an answer");
            byte[] bytes = Http.readBody(in, answer, true);
            return new Answer(id, sent, bench.record.now(), answer.status(), answer.get("X-Reply-Seal"), bytes, null,
                "close".equalsIgnoreCase(answer.get("Connection")));
        } catch (SocketTimeoutException timeout) {
            return new Answer(id, sent, bench.record.now(), 0, null, null, "no answer until the deadline", true);
        } catch (IOException failure) {
            return new Answer(id, sent, bench.record.now(), 0, null, null, failure.getMessage(), true);
        }
    }

    void log(String method, String path, Answer answer) {
        String result = answer.failure != null ? answer.failure
            : answer.status + " with " + answer.body.length + " bytes, seal " + answer.seal;
        bench.record.lineAt(answer.sentMillis, "client on " + machine.name + ": " + method + " " + path + " id " + answer.id
            + " -> " + result + " after " + (answer.endMillis - answer.sentMillis) + " ms");
    }
}
