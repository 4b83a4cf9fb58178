import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Minimal HTTP/1.1 messages for the stand-ins. */
final class Http {
    /** First line and header lines of a message. */
    static final class Head {
        final String firstLine;
        final List<String[]> headers = new ArrayList<>();

        Head(String firstLine) {
            this.firstLine = firstLine;
        }

        String get(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Reads a head, or returns null at a clean end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) return null;
        Head head = new Head(first);
        while (true) {
            String line = readLine(in, false);
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a body with a length or in chunks; without either, to the end of the stream if [untilClose]. */
    static byte[] readBody(InputStream in, Head head, boolean untilClose) throws IOException {
        String encoding = head.get("Transfer-Encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!readLine(in, false).isEmpty()) { }
                    return body.toByteArray();
                }
                body.write(readFully(in, size));
                readLine(in, false);
            }
        }
        String length = head.get("Content-Length");
        if (length != null) return readFully(in, Integer.parseInt(length.trim()));
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("body truncated: " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (mayEnd && line.size() == 0) return null;
                throw new EOFException("connection closed within a message head");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private Http() { }
}
