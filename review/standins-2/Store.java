import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a log whose keyed topics keep the newest record of each key; one partition per topic. */
final class Store {
    private record Entry(String key, byte[] value) {
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();
    final Http.Server server;

    Store() throws IOException {
        server = new Http.Server("127.0.0.1", 0, this::handle);
    }

    String address() {
        return server.address();
    }

    void write(String topic, String key, String value) {
        writeBytes(topic, key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void writeBytes(String topic, String key, byte[] value) {
        records(topic).add(new Entry(key, value));
        notifyAll();
    }

    private List<Entry> records(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(2);
        String topic = request.query("topic");
        switch (request.path()) {
            case "/log-newest" -> newest(topic, socket);
            case "/log-read" -> read(request, topic, socket);
            case "/log-append" -> append(request, topic, socket);
            default -> Http.respond(socket, 404, "", new byte[0]);
        }
        return true;
    }

    private void newest(String topic, Socket socket) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (this) {
            List<Entry> records = records(topic);
            end = records.size();
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int offset = 0; offset < end; offset++) newest.put(records.get(offset).key(), offset);
            for (int offset : newest.values()) {
                Entry entry = records.get(offset);
                if (entry.value().length == 0) continue;
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(entry.key()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.value())).append("\",\"offset\":").append(offset).append('}');
            }
        }
        String body = "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + end + "}";
        Http.respond(socket, 200, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    private void read(Http.Message request, String topic, Socket socket) throws Exception {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait_ms");
        long until = System.currentTimeMillis() + (wait == null ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        synchronized (this) {
            List<Entry> records = records(topic);
            while (records.size() <= from && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
            body.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
            for (int offset = from; offset < records.size(); offset++) {
                Entry entry = records.get(offset);
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                int length = 1 + key.length + entry.value().length;
                body.write(ByteBuffer.allocate(4 + length).putInt(length).put((byte) key.length).put(key).put(entry.value()).array());
            }
        }
        Http.respond(socket, 200, "Content-Type: application/octet-stream\r\n", body.toByteArray());
    }

    private void append(Http.Message request, String topic, Socket socket) throws IOException {
        int status = 200;
        int offset;
        int end;
        synchronized (this) {
            List<Entry> records = records(topic);
            String at = request.query("at");
            offset = records.size();
            if (at != null && Integer.parseInt(at) != offset) {
                status = 412;
            } else {
                ByteBuffer buffer = ByteBuffer.wrap(request.body);
                while (buffer.hasRemaining()) {
                    byte[] content = new byte[buffer.getInt()];
                    buffer.get(content);
                    int keyLength = content[0] & 0xff;
                    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
                    records.add(new Entry(key, java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length)));
                }
                notifyAll();
            }
            end = records.size();
        }
        String body = "{\"offset\":" + offset + ",\"end\":" + end + "}";
        Http.respond(socket, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }
}
