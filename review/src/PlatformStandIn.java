import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: rows with one revision counter, and the feed of changes of a table. */
final class PlatformStandIn {
    private record Row(String table, String part, String key, String value, long ver, boolean deleted) { }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Record record;
    private final HttpServer server;
    private long ver = 1;
    private final long startNanos = System.nanoTime();

    PlatformStandIn(Record record, String ip, int port) throws IOException {
        this.record = record;
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(ip, port), 128);
        server.setExecutor(Executors.newCachedThreadPool(Bench::daemon));
        server.createContext("/boragelever/rows-tx", exchange -> handle(exchange, this::transact));
        server.createContext("/boragelever/rows-get", exchange -> handle(exchange, this::get));
        server.createContext("/boragelever/rows-feed", exchange -> handle(exchange, this::feed));
        server.createContext("/", exchange -> handle(exchange, e -> new Reply(404, "{}")));
        server.start();
    }

    private record Reply(int status, String body) { }

    private interface Handler {
        Reply handle(HttpExchange exchange) throws Exception;
    }

    private void handle(HttpExchange exchange, Handler handler) throws IOException {
        Reply reply;
        try {
            reply = handler.handle(exchange);
        } catch (Exception failure) {
            record.line("platform: error " + failure);
            reply = new Reply(500, "{}");
        }
        byte[] body = reply.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        try {
            exchange.sendResponseHeaders(reply.status, body.length);
            exchange.getResponseBody().write(body);
        } finally {
            exchange.close();
        }
    }

    /** Writes the operator's configuration; the return is the acknowledgement. */
    synchronized void writeConfig(String json) {
        put("op", "", "config", Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), ++ver);
        notifyAll();
    }

    private void put(String table, String part, String key, String value, long version) {
        rows.put(table + "\u0000" + part + "\u0000" + key, new Row(table, part, key, value, version, false));
    }

    @SuppressWarnings("unchecked")
    private synchronized Reply transact(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> body = (Map<String, Object>) Json.parse(text);
        List<Object> conditions = (List<Object>) body.getOrDefault("ifRev", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("put", List.of());
        List<Object> deletes = (List<Object>) body.getOrDefault("delete", List.of());
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Object item : conditions) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Row row = rows.get(id(condition));
            boolean exists = row != null && !row.deleted;
            if (exists) current.add(row);
            if ((exists ? row.ver : 0) != ((Number) condition.get("ver")).longValue()) holds = false;
        }
        if (!holds) return new Reply(412, body(current));
        for (Object item : puts) {
            if (((Map<String, Object>) item).get("table").equals("op")) return new Reply(403, "{}");
        }
        ver++;
        for (Object item : puts) {
            Map<String, Object> put = (Map<String, Object>) item;
            put((String) put.get("table"), (String) put.getOrDefault("part", ""), (String) put.get("key"),
                (String) put.get("value"), ver);
        }
        for (Object item : deletes) {
            Map<String, Object> key = (Map<String, Object>) item;
            Row row = rows.get(id(key));
            if (row != null) rows.put(id(key), new Row(row.table, row.part, row.key, "", ver, true));
        }
        notifyAll();
        return new Reply(200, body(List.of()));
    }

    private static String id(Map<String, Object> key) {
        return key.get("table") + "\u0000" + key.getOrDefault("part", "") + "\u0000" + key.get("key");
    }

    private synchronized Reply get(HttpExchange exchange) {
        Map<String, String> query = query(exchange);
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("from", "");
        String to = query.get("to");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean matches = row.table.equals(table) && row.part.equals(part) && !row.deleted
                && row.key.compareTo(from) >= 0 && (to == null || row.key.compareTo(to) < 0);
            if (matches && found.size() < limit) found.add(row);
        }
        return new Reply(200, body(found));
    }

    private synchronized Reply feed(HttpExchange exchange) throws InterruptedException {
        Map<String, String> query = query(exchange);
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) if (row.table.equals(table) && row.ver > after) changed.add(row);
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMillis <= 0) return new Reply(200, body(changed));
            wait(leftMillis);
        }
    }

    private String body(List<Row> found) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (int i = 0; i < found.size(); i++) {
            Row row = found.get(i);
            if (i > 0) text.append(',');
            text.append("{\"table\":").append(Json.quote(row.table)).append(",\"part\":").append(Json.quote(row.part))
                .append(",\"key\":").append(Json.quote(row.key)).append(",\"ver\":").append(row.ver)
                .append(row.deleted ? ",\"deleted\":true}" : ",\"value\":" + Json.quote(row.value) + "}");
        }
        long now = (System.nanoTime() - startNanos) / 1_000_000;
        return text + "],\"hasMore\":false,\"ver\":" + ver + ",\"now\":\"" + now + "ms\"}";
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) return values;
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            String value = equals < 0 ? "" : pair.substring(equals + 1);
            values.put(equals < 0 ? pair : pair.substring(0, equals), URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
        return values;
    }
}
