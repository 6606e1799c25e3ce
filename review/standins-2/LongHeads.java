import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A small crowd of clients sends heads over the limit, each most of it a long request id, while the reader of the logs stalls. */
public final class LongHeads {
    private static final int ENTRIES = 2;
    private static final int CLIENTS = 60;
    private static final int LONG_HEAD_BYTES = 60_000;
    private static final int LEGAL_HEAD_BYTES = 16_000;
    private static final int DEADLINE_MS = 3_000;
    private static final int PAUSE_MS = 400;
    private static final int CROWD_MS = 60_000;
    private static final int FIRST_CHECK_MS = 15_000;
    private static final int ORDINARY = 30;

    private LongHeads() {
    }

    public static void main(String[] arguments) {
        Cases.run(arguments, LongHeads::holds);
    }

    private static boolean holds(Deployment deployment) throws Exception {
        deployment.configure(1);
        for (int number = 0; number < 8; number++) new Upstream(deployment, Upstream.answerAfter(30));
        deployment.plan(ENTRIES);
        int headBytes = deployment.hasTrouble ? LONG_HEAD_BYTES : LEGAL_HEAD_BYTES;
        deployment.record(deployment.hasTrouble ? "the reader of the logs stalls" : "the reader of the logs reads on");
        deployment.record(CLIENTS + " clients for each of " + ENTRIES + " entry VMs send heads of " + headBytes + " bytes; the limit is 16384");
        long until = System.currentTimeMillis() + CROWD_MS;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (Deployment.Entry entry : deployment.entries) {
            start(deployment, entry);
            for (int number = 0; number < CLIENTS; number++) {
                Thread thread = new Thread(null, () -> press(deployment, entry, headBytes, until, sent, answered), "crowd", 262_144);
                thread.setDaemon(true);
                thread.start();
            }
        }
        Thread watch = new Thread(() -> restart(deployment, until), "restarts");
        watch.setDaemon(true);
        watch.start();
        Deployment.sleep(FIRST_CHECK_MS);
        boolean holds = true;
        while (System.currentTimeMillis() < until - 8_000) {
            for (Deployment.Entry entry : deployment.entries) holds &= deployment.keepsTimeouts(entry, ORDINARY);
        }
        Deployment.sleep(Math.max(0, until - System.currentTimeMillis()));
        deployment.record("the crowd has left: " + sent + " requests sent, " + answered + " answered");
        return holds;
    }

    /** Starts entry VMs again that have ended by themselves, as the platform does after a short delay. */
    private static void restart(Deployment deployment, long until) {
        while (System.currentTimeMillis() < until) {
            for (Deployment.Entry entry : deployment.entries) {
                if (entry.process.isAlive()) continue;
                deployment.record(entry.name + " has ended by itself with code " + entry.process.exitValue());
                Deployment.sleep(300);
                try {
                    start(deployment, entry);
                } catch (IOException exception) {
                    deployment.record("could not start " + entry.name + ": " + exception.getMessage());
                    return;
                }
            }
            Deployment.sleep(50);
        }
    }

    /** Starts an entry VM; the reader of its log reads on, or stalls from the beginning. */
    private static void start(Deployment deployment, Deployment.Entry entry) throws IOException {
        entry.process = deployment.track(deployment.command(entry).start());
        deployment.record("start " + entry.name + " at " + entry.host + ":" + entry.port);
        if (deployment.hasTrouble) return;
        InputStream log = entry.process.getInputStream();
        Thread thread = new Thread(() -> {
            try {
                log.transferTo(OutputStream.nullOutputStream());
            } catch (IOException exception) {
                // The process has ended.
            }
        }, "log reader");
        thread.setDaemon(true);
        thread.start();
    }

    /** One client: sends one request after the other, and waits for each answer until its deadline. */
    private static void press(
        Deployment deployment, Deployment.Entry entry, int headBytes, long until, AtomicInteger sent, AtomicInteger answered
    ) {
        while (System.currentTimeMillis() < until) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.host, entry.port), 1000);
                socket.setSoTimeout(DEADLINE_MS);
                BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
                while (System.currentTimeMillis() < until) {
                    String head = deployment.request("GET", "/other/", "ID" + deployment.nextId(), DEADLINE_MS);
                    byte[] request = head.replace("ID", "x".repeat(headBytes - head.length() + 2)).getBytes(StandardCharsets.ISO_8859_1);
                    socket.getOutputStream().write(request);
                    sent.incrementAndGet();
                    if (Http.read(input, true, false) == null) break;
                    answered.incrementAndGet();
                    Deployment.sleep(PAUSE_MS);
                }
            } catch (IOException exception) {
                Deployment.sleep(50);
            }
        }
    }
}
