import java.util.List;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/** LOST: an instance answers in many small chunks, and the node closes the kept connection without an answer. */
final class SmallChunks {
    private static final int CHUNK_BYTES = Integer.getInteger("chunk", 16);
    private static final int BODY_BYTES = Integer.getInteger("body", 240_000);
    private static final int REQUESTS = Integer.getInteger("requests", 20);

    static boolean holds(Record record, boolean trouble) throws Exception {
        Bench bench = new Bench(record, trouble, "a", "b");
        Bench.Machine a = bench.machines.get("a"), b = bench.machines.get("b");
        bench.platform.writeConfig(Bench.config(5,
            List.of(Bench.route("export", "/export/", "download", "store", "5s")), "front", "store"));
        new Instance(bench, a, "i-front", "front").startHeartbeats();
        int chunkBytes = trouble ? CHUNK_BYTES : BODY_BYTES;
        Instance instance = new Instance(bench, b, "i-store", "store") {
            @Override boolean answer(Request request, OutputStream out) throws IOException {
                int size = request.target().endsWith("/small") ? 100 : BODY_BYTES;
                BufferedOutputStream buffered = new BufferedOutputStream(out, 65_536);
                buffered.write(Http.bytes(answerHead(request) + "Transfer-Encoding: chunked\r\n\r\n"));
                byte[] chunk = Http.bytes("x".repeat(Math.min(chunkBytes, size)));
                for (int sent = 0; sent < size; sent += chunk.length) {
                    buffered.write(Http.bytes(Integer.toHexString(chunk.length) + "\r\n"));
                    buffered.write(chunk);
                    buffered.write(Http.bytes("\r\n"));
                }
                buffered.write(Http.bytes("0\r\n\r\n"));
                buffered.flush();
                return true;
            }
        };
        instance.startHeartbeats();
        for (Bench.Machine machine : bench.machines.values()) machine.startNode();
        for (Bench.Machine machine : bench.machines.values()) machine.awaitReady();
        Client client = new Client(bench, a);
        long end = record.now() + 20_000;
        while (client.send("GET", "/export/small", 2000, null).status() != 200) {
            if (record.now() > end) throw new IllegalStateException("the mesh does not serve");
            Thread.sleep(100);
        }
        Thread.sleep(3500);
        int closed = 0, whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            try (Socket socket = Bench.connect(a.outbound(), 1000)) {
                // The connection is kept: it has carried an answered request before.
                Client.Answer first = client.send(socket, Client.newId(), "GET", "/export/small", 5000, null);
                client.log("GET", "/export/small", first);
                if (first.status() != 200) throw new IllegalStateException("the small answer failed");
                Client.Answer answer = client.send(socket, Client.newId(), "GET", "/export/large", 5000, null);
                client.log("GET", "/export/large", answer);
                if (answer.failure() != null && !answer.failure().startsWith("no answer")) closed++;
                if (answer.status() == 200 && answer.body().length == BODY_BYTES) whole++;
            }
            Thread.sleep(100);
        }
        record.show("requests on kept connections: " + REQUESTS + "; answered whole: " + whole
            + "; connection closed without an answer: " + closed);
        return closed <= 3;
    }
}
