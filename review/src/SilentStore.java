import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** CONFIG: the open connections to the store go silent while new ones work, and the operator writes a configuration. */
final class SilentStore {
    private static final long SENDING_MILLIS = 9_000;

    private static List<String> bothRoutes() {
        return List.of(Bench.route("moved", "/moved/", "idempotent", "old", "2s"),
            Bench.route("dropped", "/dropped/", "idempotent", "old", "2s"));
    }

    static boolean holds(Record record, boolean trouble) throws Exception {
        Bench bench = new Bench(record, trouble, "a", "b", "c");
        LinkProxy path = new LinkProxy(bench.prefix + "251", bench.platformAddress);
        bench.storeAddress = path.address;
        bench.platform.writeConfig(Bench.config(5, bothRoutes(), "front", "old", "new"));
        Map<String, String> ranBy = new ConcurrentHashMap<>();
        String[][] places = {{"a", "front"}, {"b", "old"}, {"c", "new"}};
        for (String[] place : places) {
            // Each node is the watcher of a region of its own.
            Bench.Machine machine = bench.machines.get(place[0]);
            machine.region = "region-" + place[0];
            machine.zone = machine.region + "-a";
            Instance instance = new Instance(bench, machine, "i-" + place[1], place[1]) {
                @Override void ran(Request request) { ranBy.put(request.id(), service); }
            };
            instance.startHeartbeats();
        }
        for (Bench.Machine machine : bench.machines.values()) machine.startNode();
        for (Bench.Machine machine : bench.machines.values()) machine.awaitReady();

        List<Client.Answer> moved = java.util.Collections.synchronizedList(new ArrayList<>());
        List<Client.Answer> dropped = java.util.Collections.synchronizedList(new ArrayList<>());
        boolean[] sending = {true};
        for (Bench.Machine machine : bench.machines.values()) {
            Client client = new Client(bench, machine);
            Bench.start(() -> {
                while (sending[0]) {
                    Bench.start(() -> moved.add(client.send("GET", "/moved/x", 2000, null)));
                    Bench.start(() -> dropped.add(client.send("GET", "/dropped/x", 2000, null)));
                    Instance.sleep(100);
                }
            });
        }
        Thread.sleep(5000);

        // A change without effect on the routes; the store answers the feed calls of all watchers, which call again.
        bench.platform.writeConfig(Bench.config(7, bothRoutes(), "front", "old", "new", "spare"));
        record.show("the store acknowledged version 7, which adds a service");
        Thread.sleep(300);
        if (trouble) record.show(path.silence() + " open connections to the store go silent; new ones work");
        long silenced = record.now();
        Thread.sleep(100);
        bench.platform.writeConfig(Bench.config(9,
            List.of(Bench.route("moved", "/moved/", "idempotent", "new", "2s")), "front", "old", "new", "spare"));
        long acknowledged = record.now();
        record.show("the store acknowledged version 9: /moved/ goes to 'new', /dropped/ is removed");
        Thread.sleep(SENDING_MILLIS);
        sending[0] = false;
        Thread.sleep(2500);

        // The silence counts as a reset of the connections of all machines, which are in touch again after 'contact'.
        long bound = Math.max(acknowledged + Bench.CONFIG_APPLY, trouble ? silenced + Bench.CONTACT : 0);
        int judged = 0, byOld = 0, last = 0;
        for (List<Client.Answer> answers : List.of(moved, dropped)) {
            for (Client.Answer answer : answers) {
                if (answer.sentMillis() <= bound) continue;
                judged++;
                if ("old".equals(ranBy.get(answer.id()))) {
                    byOld++;
                    last = (int) Math.max(last, answer.sentMillis() - acknowledged);
                }
            }
        }
        record.show("requests sent later than " + Bench.CONFIG_APPLY + " ms after the acknowledgement by machines in touch: "
            + judged + "; run by 'old', as only older versions allow: " + byOld
            + (byOld == 0 ? "" : ", the last one sent " + last + " ms after the acknowledgement"));
        if (judged < 100) throw new IllegalStateException("too few requests");
        return byOld == 0;
    }
}
