package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients whose directory answer still names the entry VM send it requests until 3.6 s after its SIGTERM; their work takes 2.7 s. */
final class LateRequestWhileLeaving {
    private static final long WORK_MILLISECONDS = 2700;
    private static final int INTERVAL_MILLISECONDS = 100;
    private static final long FIRST_MILLISECONDS = 2700;
    private static final long LAST_MILLISECONDS = 3600;

    /** Requests sent no later than this after the SIGTERM are excused while their upstream still works. */
    private static final long EXCUSED_MILLISECONDS = 3000;
    private static final long GRACE_MILLISECONDS = 6000;

    public static void main(String[] arguments) {
        Deployment.run(arguments, LateRequestWhileLeaving::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        Set<String> passedOn = ConcurrentHashMap.newKeySet();
        for (int number = 1; number <= 6; number++) {
            deployment.add(new Upstream("i-" + number, deployment.record) {
                @Override
                void work(HttpMessage request) {
                    if (request.method().equals("GET")) {
                        pause(20);
                        return;
                    }
                    passedOn.add(request.header("Goldcrestquay-Request-Id"));
                    pause(WORK_MILLISECONDS);
                }
            });
        }
        deployment.start("2000ms");
        // Other clients keep a connection open and use it now and then, until it is closed.
        for (int number = 0; number < 3; number++) {
            String id = "pool-" + number;
            Server.start(id, () -> {
                try (Client client = new Client(deployment.vm)) {
                    for (int round = 0; ; round++) {
                        Client.Outcome outcome = client.send("GET", "/safe/" + id, id + "-" + round, 3000, new byte[0]);
                        deployment.record.add("client of %s-%d got %s", id, round, outcome);
                        if (!outcome.isComplete() || "close".equals(outcome.answer().header("Connection"))) return;
                        Thread.sleep(5000);
                    }
                }
            });
        }
        Thread.sleep(1000);
        long terminatedAt = System.nanoTime();
        if (deployment.hasTrouble) {
            deployment.vm.terminate();
            deployment.record.add("SIGTERM");
        }
        List<Thread> clients = new ArrayList<>();
        List<String> cut = new ArrayList<>();
        for (long at = FIRST_MILLISECONDS; at <= LAST_MILLISECONDS; at += INTERVAL_MILLISECONDS) {
            sleepUntil(terminatedAt, at);
            String id = "photo-" + at;
            clients.add(Server.start(id, () -> {
                try (Client client = new Client(deployment.vm)) {
                    long sentAt = since(terminatedAt);
                    deployment.record.add("client sends %s, %d ms after the SIGTERM", id, sentAt);
                    Client.Outcome outcome = client.send("POST", "/upload/" + id, id, 4000, new byte[60_000]);
                    long endedAt = since(terminatedAt);
                    deployment.record.add("client of %s got %s, %d ms after the SIGTERM", id, outcome, endedAt);
                    boolean counts = passedOn.contains(id) && sentAt > EXCUSED_MILLISECONDS && endedAt < GRACE_MILLISECONDS + 1000;
                    if (!outcome.isComplete() && counts) synchronized (cut) { cut.add(id); }
                }
            }));
        }
        sleepUntil(terminatedAt, GRACE_MILLISECONDS);
        if (deployment.hasTrouble && !deployment.vm.hasEnded(0)) {
            deployment.vm.kill();
            deployment.record.add("SIGKILL at the end of the grace period");
        }
        for (Thread client : clients) client.join();
        deployment.record.add("sent later than 3 s, passed on to an upstream and ended without an answer: %s", cut);
        return !cut.isEmpty();
    }

    private static long since(long startedAt) {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private static void sleepUntil(long startedAt, long milliseconds) throws InterruptedException {
        Thread.sleep(Math.max(0, milliseconds - since(startedAt)));
    }
}
