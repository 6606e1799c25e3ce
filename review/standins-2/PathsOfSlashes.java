import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A small crowd of clients asks for long paths, inside the limit on heads, that consist of slashes. */
public final class PathsOfSlashes {
    private static final int CLIENTS = 80;
    private static final int CROWD_MS = 20_000;
    private static final int HEAD_BYTES = 16_000;
    private static final int DEADLINE_MS = 3_000;

    private PathsOfSlashes() {
    }

    public static void main(String[] arguments) {
        Cases.run(arguments, PathsOfSlashes::holds);
    }

    private static boolean holds(Deployment deployment) throws Exception {
        deployment.configure(1);
        for (int number = 0; number < 8; number++) new Upstream(deployment, Upstream.answerAfter(30));
        deployment.plan(3);
        for (Deployment.Entry entry : deployment.entries) deployment.start(entry);
        for (Deployment.Entry entry : deployment.entries) Cases.require(deployment.awaitReady(entry, 20_000), entry.name + " is not ready");
        Deployment.sleep(5_000);
        for (Deployment.Entry entry : deployment.entries) {
            Cases.require(deployment.ask(entry, "GET", "/safe/before", DEADLINE_MS) == 200, "requests fail before the crowd comes");
        }
        char filling = deployment.hasTrouble ? '/' : 'a';
        deployment.record(CLIENTS + " clients for each entry VM send heads of " + HEAD_BYTES + " bytes, the limit is 16384, with paths of '" + filling + "'");
        long until = System.currentTimeMillis() + CROWD_MS;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (Deployment.Entry entry : deployment.entries) {
            for (int number = 0; number < CLIENTS; number++) {
                Thread thread = new Thread(() -> press(deployment, entry, filling, until, sent, answered), "crowd");
                thread.setDaemon(true);
                thread.start();
            }
        }
        Deployment.sleep(5_000);
        boolean holds = true;
        for (Deployment.Entry entry : deployment.entries) {
            holds &= deployment.keepsTimeouts(entry, 30);
            deployment.record(entry.name + (deployment.isReady(entry, 1000) ? " says that it is ready" : " is silent when asked whether it is ready"));
        }
        Deployment.sleep(Math.max(0, until - System.currentTimeMillis()));
        deployment.record("the crowd has left: " + sent + " requests sent, " + answered + " answered");
        Deployment.sleep(10_000);
        for (Deployment.Entry entry : deployment.entries) {
            deployment.record(entry.name + (deployment.isReady(entry, 1000) ? " is ready" : " is silent") + " ten seconds after the crowd left");
        }
        return holds;
    }

    /** One client: asks, waits for the answer until its deadline, and asks again over a new connection. */
    private static void press(
        Deployment deployment, Deployment.Entry entry, char filling, long until, AtomicInteger sent, AtomicInteger answered
    ) {
        while (System.currentTimeMillis() < until) {
            String id = deployment.nextId();
            String head = deployment.request("GET", "/safe/PATH", id, DEADLINE_MS);
            String request = head.replace("PATH", String.valueOf(filling).repeat(HEAD_BYTES - head.length() + 4));
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.host, entry.port), 1000);
                socket.setSoTimeout(DEADLINE_MS);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                sent.incrementAndGet();
                if (Http.read(new BufferedInputStream(socket.getInputStream()), true, false) != null) answered.incrementAndGet();
            } catch (IOException exception) {
                // Not answered in time.
            }
            // As clients do that honour a refusal.
            Deployment.sleep(500);
        }
    }
}
