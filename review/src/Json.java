import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small JSON reader for the bodies of the store's calls. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') quoted.append('\\').append(c);
            else if (c < ' ') quoted.append(String.format("\\u%04x", (int) c));
            else quoted.append(c);
        }
        return quoted.append('"').toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at).trim();
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        return word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (true) {
            skipSpace();
            if (text.charAt(at) == '}') { at++; return map; }
            if (text.charAt(at) == ',') { at++; continue; }
            String key = string();
            skipSpace();
            at++;
            map.put(key, value());
        }
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        at++;
        while (true) {
            skipSpace();
            if (text.charAt(at) == ']') { at++; return items; }
            if (text.charAt(at) == ',') { at++; continue; }
            items.add(value());
        }
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') { result.append(c); continue; }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> { result.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; }
                default -> result.append(escape);
            }
        }
        at++;
        return result.toString();
    }
}
