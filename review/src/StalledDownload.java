import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: the open connections to the instances go silent while they send large answers; new ones work. */
final class StalledDownload {
    private static final int DOWNLOADS = 24;
    private static final int BODY_BYTES = 540_000;
    /** Part that the instance has ready at once; it produces the rest in pieces. */
    private static final int READY_BYTES = 390_000;
    private static final int PIECE_BYTES = 10_000;
    private static final long PIECE_MILLIS = 100;
    private static final int ROUTE_TIMEOUT = 4_000;
    private static final long SILENCE_AFTER = 300;
    /** The clients wait longer than the route's timeout, so that a late answer would be seen. */
    private static final int DEADLINE = 9_000;

    static boolean holds(Record record, boolean trouble) throws Exception {
        Bench bench = new Bench(record, trouble, "a", "b", "c");
        Bench.Machine a = bench.machines.get("a"), b = bench.machines.get("b"), c = bench.machines.get("c");
        bench.platform.writeConfig(Bench.config(5,
            List.of(Bench.route("pattern", "/pattern/", "download", "patternstore", ROUTE_TIMEOUT + "ms")),
            "front", "patternstore"));
        new Instance(bench, a, "i-front", "front").startHeartbeats();
        List<LinkProxy> paths = new ArrayList<>();
        AtomicInteger inProgress = new AtomicInteger();
        for (Bench.Machine machine : List.of(b, c)) {
            Instance instance = new Instance(bench, machine, "i-" + machine.name, "patternstore") {
                @Override boolean answer(Request request, OutputStream out) throws IOException {
                    sleep(100);
                    out.write(Http.bytes(answerHead(request) + "Content-Length: " + BODY_BYTES + "\r\n\r\n"));
                    out.write(new byte[READY_BYTES]);
                    inProgress.incrementAndGet();
                    for (int sent = READY_BYTES; sent < BODY_BYTES; sent += PIECE_BYTES) {
                        out.write(new byte[PIECE_BYTES]);
                        sleep(PIECE_MILLIS);
                    }
                    return true;
                }
            };
            LinkProxy path = new LinkProxy(machine.ip, machine.app());
            paths.add(path);
            instance.address = path.address;
            instance.startHeartbeats();
        }
        for (Bench.Machine machine : bench.machines.values()) machine.startNode();
        for (Bench.Machine machine : bench.machines.values()) machine.awaitReady();
        Client client = new Client(bench, a);
        long end = record.now() + 20_000;
        while (client.send("GET", "/pattern/first", 3000, null).status() != 200) {
            if (record.now() > end) throw new IllegalStateException("the mesh does not serve");
            Thread.sleep(100);
        }
        Thread.sleep(4000);

        inProgress.set(0);
        List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < DOWNLOADS; i++) {
            Thread thread = Bench.daemon(() -> answers.add(client.send("GET", "/pattern/x", DEADLINE, null)));
            thread.start();
            threads.add(thread);
        }
        // The silence begins when all downloads are in progress; it is the end of their time that is judged.
        long limit = record.now() + 1_000;
        while (inProgress.get() < DOWNLOADS && record.now() < limit) Thread.sleep(5);
        Thread.sleep(SILENCE_AFTER);
        long silenced = record.now();
        if (trouble) for (LinkProxy path : paths) record.show(path.silence() + " open connections to an instance go silent; new ones work");
        for (Thread thread : threads) thread.join();

        long open = 0, unanswered = 0, whole = 0;
        for (Client.Answer answer : answers) {
            long judged = answer.sentMillis() + ROUTE_TIMEOUT + 500;
            if (answer.status() == 200 && answer.body().length == BODY_BYTES) whole++;
            // The silence counts as a reset of the connections of all machines, which are in touch again after 'contact'.
            boolean inTouch = !trouble || judged > silenced + Bench.CONTACT;
            if (!inTouch || answer.endMillis() <= answer.sentMillis() + ROUTE_TIMEOUT) continue;
            open++;
            if (answer.endMillis() > judged) unanswered++;
        }
        record.show("downloads: " + answers.size() + "; whole: " + whole + "; judged in touch and not ended at the route's timeout: "
            + open + "; of these without a final answer 500 ms later: " + unanswered);
        return unanswered < 8 || unanswered * 2 <= open;
    }
}
