import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * DRAIN: an instance leaves by a deregistration that its node acknowledges, the node is restarted, and a heartbeat that
 * the instance had sent before arrives late.
 */
final class LateHeartbeat {
    private static final long HEARTBEAT_DELAY = 4_500;
    private static final long KILL_AFTER_ACK = 300;
    private static final long DOWN = 300;
    private static final long SERVES_AFTER_ACK = 8_000;

    static boolean holds(Record record, boolean trouble) throws Exception {
        Bench bench = new Bench(record, trouble, "a", "b", "c");
        Bench.Machine a = bench.machines.get("a"), b = bench.machines.get("b"), c = bench.machines.get("c");
        bench.platform.writeConfig(Bench.config(5,
            List.of(Bench.route("read", "/read/", "idempotent", "books", "2s"),
                Bench.route("file", "/file/", "non_idempotent", "books", "2s")), "front", "books"));

        Map<String, Long> runs = new ConcurrentHashMap<>();
        Instance front = new Instance(bench, a, "i-front", "front");
        Instance leaving = new Instance(bench, c, "i-leaving", "books") {
            @Override void ran(Request request) { runs.put(request.id(), request.arrivedMillis()); }
        };
        Instance staying = new Instance(bench, b, "i-staying", "books");
        LinkProxy path = new LinkProxy(c.ip, c.control());
        leaving.controlAddress = path.address;
        for (Bench.Machine machine : bench.machines.values()) machine.startNode();
        for (Bench.Machine machine : bench.machines.values()) machine.awaitReady();
        front.startHeartbeats();
        staying.startHeartbeats();
        leaving.startHeartbeats();

        List<Client.Answer> answers = java.util.Collections.synchronizedList(new ArrayList<>());
        Client client = new Client(bench, a);
        boolean[] sending = {true};
        for (String[] kind : new String[][] {{"GET", "/read/"}, {"POST", "/file/"}}) {
            Bench.start(() -> {
                while (sending[0]) {
                    Bench.start(() -> answers.add(client.send(kind[0], kind[1] + "x", 2000, kind[0].equals("POST") ? "{}" : null)));
                    Instance.sleep(50);
                }
            });
        }
        long end = record.now() + 20_000;
        while (runs.size() < 20) {
            if (record.now() > end) throw new IllegalStateException("the leaving instance got no work in 20 s");
            Thread.sleep(50);
        }
        Thread.sleep(4000);

        // The last heartbeat before the deregistration is late on its way; both carry what the instance says at that time.
        leaving.beating = false;
        Thread.sleep(Bench.HEARTBEAT + 100);
        path.delayMillis = HEARTBEAT_DELAY;
        long lateSent = record.now();
        String late = leaving.beat(leaving.seq.incrementAndGet());
        record.show("i-leaving sends a heartbeat (state ready) that will arrive " + HEARTBEAT_DELAY + " ms late");
        Bench.start(() -> leaving.call("/boragelever/Instances.Heartbeat/" + leaving.id, late, path.address, 1000));
        Thread.sleep(200);
        path.delayMillis = 0;
        if (!leaving.deregister()) throw new IllegalStateException("the deregistration was not acknowledged");
        long acknowledged = record.now();
        record.show("node c acknowledged the deregistration of i-leaving, which goes on serving for "
            + SERVES_AFTER_ACK + " ms");
        long restarted = -1;
        if (trouble) {
            Thread.sleep(KILL_AFTER_ACK);
            c.killNode();
            Thread.sleep(DOWN);
            c.startNode();
            restarted = record.now();
        }
        Thread.sleep(acknowledged + SERVES_AFTER_ACK - record.now());
        sending[0] = false;
        leaving.end();
        record.show("i-leaving has ended");
        Thread.sleep(2500);

        long inTouch = Math.max(restarted + Bench.CONTACT, acknowledged + Bench.DRAIN);
        int afterDrain = 0, inTouchRuns = 0;
        long first = -1;
        for (long run : runs.values()) {
            if (run > acknowledged + Bench.DRAIN) afterDrain++;
            if (run > inTouch) {
                inTouchRuns++;
                first = first < 0 ? run : Math.min(first, run);
            }
        }
        record.show("requests answered 200: " + answers.stream().filter(x -> x.status() == 200).count() + " of " + answers.size());
        record.show("heartbeat sent " + (acknowledged - lateSent) + " ms before the acknowledgement; requests run by i-leaving"
            + " later than " + Bench.DRAIN + " ms after it: " + afterDrain + "; of these with all machines in touch: "
            + inTouchRuns + (first < 0 ? "" : ", the first " + (first - acknowledged) + " ms after it"));
        return inTouchRuns == 0;
    }
}
