import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** CONFIG: two of six instances crash while they run a request that many clients send; it is refused from then on. */
final class PopularRequest {
    private static final int INSTANCES = 6;
    private static final int CRASHED = 2;
    private static final long WORK = 300;
    private static final long SETTLE = 6_000;
    private static final long JUDGED = 12_000;

    static boolean holds(Record record, boolean trouble) throws Exception {
        Bench bench = new Bench(record, trouble, "a", "b", "c", "d", "e", "f", "g");
        String first = Bench.route("reviews", "/reviews/", "idempotent", "records", "2s");
        String later = Bench.route("agenda", "/agenda/", "idempotent", "records", "2s");
        bench.platform.writeConfig(Bench.config(5, List.of(first), "front", "records"));
        List<Bench.Machine> machines = List.copyOf(bench.machines.values());
        for (Bench.Machine machine : machines) machine.zone = "r1-a";
        Bench.Machine a = machines.get(0);
        new Instance(bench, a, "i-front", "front").startHeartbeats();
        List<Instance> instances = new ArrayList<>();
        for (int i = 1; i <= INSTANCES; i++) {
            Instance instance = new Instance(bench, machines.get(i), "i-" + machines.get(i).name, "records") {
                @Override boolean answer(Request request, OutputStream out) throws IOException {
                    sleep(WORK);
                    return super.answer(request, out);
                }
            };
            instances.add(instance);
            instance.startHeartbeats();
        }
        for (Bench.Machine machine : machines) machine.startNode();
        for (Bench.Machine machine : machines) machine.awaitReady();
        Client client = new Client(bench, a);
        List<Client.Answer> onFirst = Collections.synchronizedList(new ArrayList<>());
        List<Client.Answer> onLater = Collections.synchronizedList(new ArrayList<>());
        boolean[] sending = {true};
        Bench.start(() -> {
            for (int number = 0; sending[0]; number++) {
                String path = "/reviews/" + number;
                Bench.start(() -> onFirst.add(client.send("GET", path, 2000, null)));
                Instance.sleep(25);
            }
        });
        Thread.sleep(5000);
        bench.platform.writeConfig(Bench.config(7, List.of(first, later), "front", "records"));
        record.show("the store acknowledged version 7, which adds the route /agenda/");
        Thread.sleep(3000);
        Bench.start(() -> {
            while (sending[0]) {
                Bench.start(() -> onLater.add(client.send("GET", "/agenda/today", 2000, null)));
                Instance.sleep(12);
            }
        });
        Thread.sleep(5000);
        if (trouble) {
            for (Instance instance : instances.subList(0, CRASHED)) instance.crash();
            record.show(CRASHED + " of " + INSTANCES + " instances of 'records' crashed");
        }
        long from = record.now() + SETTLE;
        Thread.sleep(SETTLE + JUDGED);
        long to = record.now();
        sending[0] = false;
        Thread.sleep(2500);
        long[] firstCounts = count(onFirst, from, to), laterCounts = count(onLater, from, to);
        record.show("from " + SETTLE + " ms after that, for " + JUDGED + " ms: served " + firstCounts[0] + " of " + firstCounts[1]
            + " requests on the first route, " + laterCounts[0] + " of " + laterCounts[1] + " on the later one");
        if (firstCounts[0] < 100 || laterCounts[1] < 20) throw new IllegalStateException("too few requests");
        return laterCounts[0] * firstCounts[1] * 4 >= firstCounts[0] * laterCounts[1];
    }

    /** Numbers of served requests and of all requests that were sent in the span. */
    private static long[] count(List<Client.Answer> answers, long from, long to) {
        long served = 0, all = 0;
        for (Client.Answer answer : List.copyOf(answers)) {
            if (answer.sentMillis() < from || answer.sentMillis() > to) continue;
            all++;
            if (answer.status() == 200 && answer.seal() != null) served++;
        }
        return new long[] {served, all};
    }
}
