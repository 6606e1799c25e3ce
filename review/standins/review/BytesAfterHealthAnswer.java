package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** For five seconds, three upstreams of five send, after a few of their health answers, the beginning of another answer. */
final class BytesAfterHealthAnswer {
    /** The beginning of a refusal, which breaks off within a header. */
    private static final String ADDITIONAL_BYTES = "HTTP/1.1 503 Service Unavailable\r\nGoldcrestquay-Not-Executed: 1\r\nDate: ";
    private static final int CLIENTS = 2;
    private static final int REQUESTS_PER_CLIENT = 220;
    private static final int UPSTREAMS = 5;
    private static final int FAULTY_UPSTREAMS = 3;

    /** A faulty upstream spoils at most one answer in this many: a share of 0.03. */
    private static final int SPOILT_PERIOD = 34;

    /** How long work takes, as the upstreams tell with their load: the faulty ones run on faster machines. */
    private static final int FAST_PERCENT = 70;
    private static final int USUAL_PERCENT = 100;
    private static final long TROUBLE_NANOSECONDS = 5_000_000_000L;

    public static void main(String[] arguments) {
        Deployment.run(arguments, BytesAfterHealthAnswer::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        AtomicLong troubleEndsAt = new AtomicLong();
        Map<String, List<String>> runs = new ConcurrentHashMap<>();
        for (int number = 1; number <= UPSTREAMS; number++) {
            boolean isFaulty = number <= FAULTY_UPSTREAMS && deployment.hasTrouble;
            int percent = number <= FAULTY_UPSTREAMS ? FAST_PERCENT : USUAL_PERCENT;
            deployment.add(new Upstream("i-" + number, deployment.record) {
                private final AtomicInteger answers = new AtomicInteger();

                @Override
                int timePercent() {
                    return percent;
                }

                @Override
                void health(Connection connection) throws IOException {
                    boolean isSpoilt = answers.incrementAndGet() >= SPOILT_PERIOD && isFaulty && System.nanoTime() < troubleEndsAt.get();
                    if (isSpoilt) {
                        answers.set(0);
                        record.add("%s sends additional bytes after a health answer", id);
                    }
                    connection.write(healthAnswer() + (isSpoilt ? ADDITIONAL_BYTES : ""));
                }

                @Override
                void started(HttpMessage request) {
                    super.started(request);
                    answers.incrementAndGet();
                    runs.computeIfAbsent(request.header("Goldcrestquay-Request-Id"), id -> new CopyOnWriteArrayList<>()).add(id);
                }
            });
        }
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
                }
            }));
        }
        for (Thread client : clients) client.join();
        Thread.sleep(500);
        long twice = runs.values().stream().filter(list -> list.size() > 1).count();
        deployment.record.add("orders that ran more than once: %d; refused although they ran: %d", twice, refusedAndRun.get());
        return twice > 0 || refusedAndRun.get() > 0;
    }
}
