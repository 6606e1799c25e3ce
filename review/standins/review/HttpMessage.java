package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 request or response as it was read from a socket. */
final class HttpMessage {
    final String startLine;
    final Map<String, String> headers;

    /** The body as far as it was read. */
    byte[] body = new byte[0];

    /** Whether the body was read to its end. */
    boolean isComplete;

    private HttpMessage(String startLine, Map<String, String> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String uri() {
        return startLine.split(" ")[1];
    }

    String path() {
        return uri().split("\\?")[0];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String parameter(String name) {
        String[] parts = uri().split("\\?", 2);
        if (parts.length < 2) return null;
        for (String pair : parts[1].split("&")) if (pair.startsWith(name + "=")) return pair.substring(name.length() + 1);
        return null;
    }

    /** Reads a head; null when the connection ends before its first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) return null;
        Map<String, String> headers = new TreeMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) return new HttpMessage(startLine, headers);
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads a request or response; null when the connection ends before its first byte. A body that ends early is kept. */
    static HttpMessage read(InputStream in, boolean isResponse) throws IOException {
        HttpMessage message = readHead(in);
        if (message == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equals(message.header("transfer-encoding"))) {
                message.isComplete = readChunks(in, body);
            } else if (message.header("content-length") != null) {
                message.isComplete = copy(in, body, Long.parseLong(message.header("content-length")));
            } else {
                message.isComplete = !isResponse || copy(in, body, Long.MAX_VALUE);
            }
        } catch (IOException exception) {
            message.isComplete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) return false;
            int length = Integer.parseInt(size.trim(), 16);
            if (!copy(in, body, length)) return false;
            if (readLine(in) == null) return false;
            if (length == 0) return true;
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream body, long length) throws IOException {
        byte[] buffer = new byte[65_536];
        long left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (count < 0) return length == Long.MAX_VALUE;
            body.write(buffer, 0, count);
            left -= count;
        }
        return true;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }
}
