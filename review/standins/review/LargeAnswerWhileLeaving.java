package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients get answers of 400 kB; meanwhile the entry VM gets SIGTERM. */
final class LargeAnswerWhileLeaving {
    private static final int BODY_BYTES = 400_000;
    private static final int REQUESTS = 12;
    private static final int INTERVAL_MILLISECONDS = 150;

    public static void main(String[] arguments) {
        Deployment.run(arguments, LargeAnswerWhileLeaving::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        Set<String> passedOn = ConcurrentHashMap.newKeySet();
        for (int number = 1; number <= 3; number++) {
            deployment.add(new Upstream("i-" + number, deployment.record) {
                @Override
                void work(HttpMessage request) {
                    passedOn.add(request.header("Goldcrestquay-Request-Id"));
                    pause(300);
                }

                @Override
                String body(HttpMessage request) {
                    return "x".repeat(BODY_BYTES);
                }

                @Override
                void run(HttpMessage request, Connection connection) throws IOException {
                    super.run(request, connection);
                    record.add("%s has sent the whole answer to %s", id, request.header("Goldcrestquay-Request-Id"));
                }
            });
        }
        deployment.start("2000ms");
        List<Thread> clients = new ArrayList<>();
        List<String> cut = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            String id = String.format("photo-%02d", number);
            clients.add(Server.start(id, () -> {
                try (Client client = new Client(deployment.vm)) {
                    deployment.record.add("client sends %s", id);
                    Client.Outcome outcome = client.send("POST", "/unsafe/" + id, id, 4000, "order".getBytes());
                    deployment.record.add("client of %s got %s", id, outcome);
                    boolean isWhole = outcome.isComplete() && (outcome.status() != 200 || outcome.answer().body.length == BODY_BYTES);
                    if (!isWhole && passedOn.contains(id)) synchronized (cut) { cut.add(id); }
                }
            }));
            if (number == REQUESTS / 2 && deployment.hasTrouble) {
                deployment.vm.terminate();
                deployment.record.add("SIGTERM");
            }
            Thread.sleep(INTERVAL_MILLISECONDS);
        }
        for (Thread client : clients) client.join();
        deployment.record.add("passed on to an upstream and ended without a complete answer: %s", cut);
        return !cut.isEmpty();
    }
}
