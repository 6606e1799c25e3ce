package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound upstream: names its load, answers 421 to requests for another one, and records what it runs. */
class Upstream extends Server {
    static final int SLOTS = 4;

    final String id;
    final Record record;
    final AtomicInteger running = new AtomicInteger();
    private final long startedAt = System.currentTimeMillis();
    private int beats;

    Upstream(String id, Record record) throws IOException {
        this.id = id;
        this.record = record;
    }

    /** What the upstream writes of itself to the store. */
    String beat(String service) {
        return "{\"address\":\"" + address() + "\",\"born\":" + startedAt + ",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"irbid-a\",\"slots\":" + SLOTS + "},\"status\":{\"state\":\"ready\",\"seq\":" + ++beats
            + ",\"warmup_left\":\"0ms\"}}";
    }

    @Override
    void handle(HttpMessage request, Connection connection) throws IOException {
        if (request.path().equals("/health")) {
            health(connection);
            return;
        }
        String expected = request.header("Goldcrestquay-Target-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.write("HTTP/1.1 421 Misdirected Request\r\nGoldcrestquay-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        run(request, connection);
    }

    void health(Connection connection) throws IOException {
        connection.write(healthAnswer());
    }

    String healthAnswer() {
        return "HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: " + id + "\r\nGoldcrestquay-Server-Load: " + running.get() + ",0," + SLOTS
            + "," + timePercent() + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** How long work takes on the machine at this moment; 100 means as usual. */
    int timePercent() {
        return 100;
    }

    /** Runs a request and answers it. */
    void run(HttpMessage request, Connection connection) throws IOException {
        started(request);
        running.incrementAndGet();
        try {
            work(request);
        } finally {
            running.decrementAndGet();
        }
        connection.write(answer(request, body(request)));
    }

    void started(HttpMessage request) {
        record.add("%s runs %s %s", id, request.header("Goldcrestquay-Request-Id"), request.startLine);
    }

    void work(HttpMessage request) throws IOException {
        pause(20);
    }

    String body(HttpMessage request) {
        return "answer to " + request.header("Goldcrestquay-Request-Id");
    }

    String answer(HttpMessage request, String body) {
        String requestId = request.header("Goldcrestquay-Request-Id");
        return "HTTP/1.1 200 OK\r\nGoldcrestquay-Request-Id: " + requestId + "\r\nGoldcrestquay-Server-Seal: " + id + "." + requestId
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
