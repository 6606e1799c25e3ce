package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: topics of keyed records with one partition each. Loses and delays nothing. */
final class Store extends Server {
    private record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();

    Store() throws IOException {}

    /** Appends a record as an operator or an upstream does; a null value removes the key. */
    synchronized void put(String topic, String key, String value) {
        append(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    private void append(String topic, String key, byte[] value) {
        records(topic).add(new Entry(key, value));
        notifyAll();
    }

    private List<Entry> records(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    @Override
    void handle(HttpMessage request, Connection connection) throws IOException {
        switch (request.path()) {
            case "/log-newest" -> connection.write(response(200, newest(request)));
            case "/log-read" -> connection.write(response(200, read(request)));
            case "/log-append" -> append(request, connection);
            default -> connection.write(response(404, new byte[0]));
        }
    }

    private synchronized byte[] newest(HttpMessage request) {
        List<Entry> records = records(request.parameter("topic"));
        TreeMap<String, Integer> offsets = new TreeMap<>();
        for (int offset = 0; offset < records.size(); offset++) offsets.put(records.get(offset).key, offset);
        StringBuilder items = new StringBuilder();
        offsets.forEach((key, offset) -> {
            byte[] value = records.get(offset).value;
            if (value.length == 0) return;
            if (items.length() > 0) items.append(',');
            items.append("{\"key\":\"").append(key).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
                .append("\",\"offset\":").append(offset).append('}');
        });
        String body = "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + records.size() + "}";
        return body.getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(HttpMessage request) throws IOException {
        List<Entry> records = records(request.parameter("topic"));
        int from = Integer.parseInt(request.parameter("from"));
        String wait = request.parameter("wait_ms");
        long until = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
        try {
            while (records.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException exception) {
            throw new IOException(exception);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(records.size());
        out.writeLong(0);
        for (Entry entry : records.subList(Math.min(from, records.size()), records.size())) {
            byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value.length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value);
        }
        return bytes.toByteArray();
    }

    private synchronized void append(HttpMessage request, Connection connection) throws IOException {
        String topic = request.parameter("topic");
        int end = records(topic).size();
        String expected = request.parameter("at");
        if (expected != null && Integer.parseInt(expected) != end) {
            connection.write(response(412, ("{\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8)));
            return;
        }
        ByteBuffer buffer = ByteBuffer.wrap(request.body);
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            int keyLength = content[0] & 0xff;
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            append(topic, new String(content, 1, keyLength, StandardCharsets.UTF_8), value);
        }
        connection.write(response(200, ("{\"offset\":" + end + ",\"end\":" + records(topic).size() + "}").getBytes(StandardCharsets.UTF_8)));
    }

    private static byte[] response(int status, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(("HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        return bytes.toByteArray();
    }
}
