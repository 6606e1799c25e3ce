import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream: registers in the store, answers health checks and runs requests. */
final class Upstream {
    interface Work {
        /** Runs a request and answers it; returns false to close the connection. */
        boolean run(Upstream upstream, Http.Message request, Socket socket) throws Exception;
    }

    static final int SLOTS = 4;
    private static final int QUEUE = 8;
    private static final int MAXIMUM_CONNECTIONS = 220;
    final String id = "i-" + UUID.randomUUID().toString().substring(0, 8);
    final long born = System.currentTimeMillis();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger taken = new AtomicInteger();
    private final Deployment deployment;
    private final Http.Server server;
    private final Work work;
    private int sequence;

    Upstream(Deployment deployment, Work work) throws Exception {
        this.deployment = deployment;
        this.work = work;
        server = new Http.Server("127.0.0.1", 0, MAXIMUM_CONNECTIONS, this::handle);
        register();
        Thread thread = new Thread(this::beat, "status reports");
        thread.setDaemon(true);
        thread.start();
    }

    private void register() {
        deployment.store.write("keyed.servers", id, "{\"address\":\"" + server.address() + "\",\"born\":" + born
            + ",\"info\":{\"service\":\"shop\",\"version\":\"v1\",\"zone\":\"north\",\"slots\":" + SLOTS
            + "},\"status\":{\"state\":\"ready\",\"seq\":" + ++sequence + ",\"warmup_left\":\"0ms\"}}");
    }

    private void beat() {
        while (true) {
            Deployment.sleep(1500);
            register();
        }
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        if (request.path().equals("/health")) {
            Http.respond(socket, 200, "Goldcrestquay-Instance-Id: " + id + "\r\n" + load(), new byte[0]);
            return true;
        }
        String asked = request.header("Goldcrestquay-Target-Instance");
        if (asked != null && !asked.equals(id)) {
            Http.respond(socket, 421, "Goldcrestquay-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (taken.incrementAndGet() > SLOTS + QUEUE) {
            taken.decrementAndGet();
            Http.respond(socket, 503, "Goldcrestquay-Not-Executed: 1\r\nGoldcrestquay-Request-Id: " + request.header("Goldcrestquay-Request-Id")
                + "\r\n" + load(), new byte[0]);
            return true;
        }
        try {
            slots.acquire();
            try {
                deployment.record("run " + request.header("Goldcrestquay-Request-Id") + " " + request.part(0) + " " + shown(request.uri()) + " at " + id);
                return work.run(this, request, socket);
            } finally {
                slots.release();
            }
        } finally {
            taken.decrementAndGet();
        }
    }

    /** The load header: the requests running and waiting, the slots, and how long work takes in percent of the usual time. */
    String load() {
        int all = taken.get();
        return "Goldcrestquay-Server-Load: " + Math.min(all, SLOTS) + "," + Math.max(0, all - SLOTS) + "," + SLOTS + ",100\r\n";
    }

    private static String shown(String uri) {
        String ascii = uri.replaceAll("[^ -~]", ".");
        return ascii.length() <= 100 ? ascii : ascii.substring(0, 100) + "... (" + ascii.length() + " characters)";
    }

    /** Answers after a time of work with a body that names the request. */
    static Work answerAfter(long milliseconds) {
        return (upstream, request, socket) -> {
            Deployment.sleep(milliseconds);
            String requestId = request.header("Goldcrestquay-Request-Id");
            String headers = "Goldcrestquay-Request-Id: " + requestId + "\r\nGoldcrestquay-Server-Seal: " + upstream.id + "." + requestId
                + "\r\n" + upstream.load();
            Http.respond(socket, 200, headers, ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            return true;
        };
    }
}
