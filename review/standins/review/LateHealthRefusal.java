package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The upstreams of a service that doesn't tell its load reject health checks while they are full, like any other request. For
 * five seconds, three of five send a few of these rejections a second time, late: where the next answer of the connection is expected.
 */
final class LateHealthRefusal {
    private static final String REJECTION = "HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int CLIENTS = 24;
    private static final int REQUESTS_PER_CLIENT = 35;

    private static final int UPSTREAMS = 5;
    private static final int FAULTY_UPSTREAMS = 3;

    /** A faulty upstream garbles at most one answer in this many: a share of 0.03. */
    private static final int GARBLED_PERIOD = 34;
    private static final long TROUBLE_NANOSECONDS = 5_000_000_000L;
    private static final int QUEUE = 8;

    public static void main(String[] arguments) {
        Deployment.run(arguments, LateHealthRefusal::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        Map<String, List<String>> runs = new ConcurrentHashMap<>();
        AtomicLong troubleEndsAt = new AtomicLong();
        for (int number = 1; number <= UPSTREAMS; number++) deployment.add(upstream(deployment, number, runs, troubleEndsAt));
        deployment.start("2000ms");
        AtomicInteger refusedAndRun = new AtomicInteger();
        troubleEndsAt.set(System.nanoTime() + TROUBLE_NANOSECONDS);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            String prefix = "order-" + client + "-";
            clients.add(Server.start(prefix, () -> {
                for (int number = 0; number < REQUESTS_PER_CLIENT; number++) {
                    String id = prefix + number;
                    try (Client connection = new Client(deployment.vm)) {
                        Client.Outcome outcome = connection.send("POST", "/unsafe/" + id, id, 4000, "order".getBytes());
                        deployment.record.add("client of %s got %s", id, outcome);
                        boolean isRefused = outcome.status() == 503 || outcome.status() == 429;
                        if (isRefused && runs.containsKey(id)) refusedAndRun.incrementAndGet();
                    }
                    Thread.sleep(30);
                }
            }));
        }
        for (Thread client : clients) client.join();
        Thread.sleep(500);
        long twice = runs.values().stream().filter(list -> list.size() > 1).count();
        deployment.record.add("orders that ran more than once: %d; refused although they ran: %d", twice, refusedAndRun.get());
        return twice > 0 || refusedAndRun.get() > 0;
    }

    private static Upstream upstream(
        Deployment deployment,
        int number,
        Map<String, List<String>> runs,
        AtomicLong troubleEndsAt
    ) throws IOException {
        boolean isFaulty = number <= FAULTY_UPSTREAMS && deployment.hasTrouble;
        return new Upstream("i-" + number, deployment.record) {
            private final AtomicInteger answers = new AtomicInteger();
            private final AtomicInteger admitted = new AtomicInteger();
            private final Semaphore slots = new Semaphore(SLOTS, true);

            @Override
            void health(Connection connection) throws IOException {
                answers.incrementAndGet();
                if (running.get() < SLOTS) {
                    connection.write("HTTP/1.1 200 OK\r\nGoldcrestquay-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                connection.write(REJECTION);
                boolean isGarbled = isFaulty && answers.get() >= GARBLED_PERIOD && System.nanoTime() < troubleEndsAt.get();
                if (isGarbled) answers.set(0);
                connection.state = isGarbled ? REJECTION : null;
            }

            @Override
            void run(HttpMessage request, Connection connection) throws IOException {
                answers.incrementAndGet();
                if (connection.state != null) {
                    record.add("%s sends a rejection of a health check once more, late", id);
                    connection.write((String) connection.state);
                    connection.state = null;
                }
                if (admitted.incrementAndGet() > SLOTS + QUEUE) {
                    admitted.decrementAndGet();
                    connection.write(REJECTION);
                    return;
                }
                try {
                    slots.acquireUninterruptibly();
                    try {
                        super.run(request, connection);
                    } finally {
                        slots.release();
                    }
                } finally {
                    admitted.decrementAndGet();
                }
            }

            @Override
            void started(HttpMessage request) {
                super.started(request);
                runs.computeIfAbsent(request.header("Goldcrestquay-Request-Id"), id -> new CopyOnWriteArrayList<>()).add(id);
            }

            @Override
            void work(HttpMessage request) {
                pause(150);
            }
        };
    }
}
