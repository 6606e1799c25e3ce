import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** The reader of the entry VMs' logs stalls, and an entry that can't be read comes into the store. */
public final class LogReaderStalls {
    private static final int STALL_MS = 20_000;

    private static volatile boolean isStalled;

    private LogReaderStalls() {
    }

    public static void main(String[] arguments) {
        Cases.run(arguments, LogReaderStalls::holds);
    }

    private static boolean holds(Deployment deployment) throws Exception {
        deployment.configure(1);
        for (int number = 0; number < 8; number++) new Upstream(deployment, Upstream.answerAfter(30));
        deployment.plan(3);
        for (Deployment.Entry entry : deployment.entries) {
            entry.process = deployment.track(deployment.command(entry).start());
            readLog(entry.process.getInputStream());
            deployment.record("start " + entry.name + " at " + entry.host + ":" + entry.port);
        }
        for (Deployment.Entry entry : deployment.entries) Cases.require(deployment.awaitReady(entry, 20_000), entry.name + " is not ready");
        // The decision log begins four seconds after the start.
        Deployment.sleep(6_000);
        if (deployment.hasTrouble) {
            isStalled = true;
            deployment.record("the reader of the logs stalls for " + STALL_MS + " ms");
        }
        long stalledAt = System.currentTimeMillis();
        // A pipe holds 64 KiB.
        AtomicInteger served = new AtomicInteger();
        for (Deployment.Entry entry : deployment.entries) {
            for (int number = 0; number < 150; number++) if (deployment.ask(entry, "GET", "/safe/before", 3000) == 200) served.incrementAndGet();
        }
        deployment.record(served + " of 450 requests were served before the entry came");
        Cases.require(served.get() > 400, "requests fail before the entry came");
        if (deployment.hasTrouble) {
            deployment.store.writeBytes("keyed.servers", "i-other-writer", new byte[] {(byte) 0xff, (byte) 0xfe, 0x00, 0x7b});
            deployment.record("another writer's entry comes into the store: servers/i-other-writer, bytes that can't be read");
        }
        Deployment.sleep(4_000);
        boolean holds = true;
        for (Deployment.Entry entry : deployment.entries) {
            holds &= deployment.keepsTimeouts(entry, 30);
            deployment.record(entry.name + (deployment.isReady(entry, 1000) ? " says that it is ready" : " is silent when asked whether it is ready"));
        }
        Deployment.sleep(Math.max(0, stalledAt + STALL_MS - System.currentTimeMillis()));
        isStalled = false;
        deployment.record("the reader of the logs reads on");
        Deployment.sleep(3_000);
        for (Deployment.Entry entry : deployment.entries) {
            deployment.record(entry.name + " is " + (deployment.isReady(entry, 1000) ? "" : "not ") + "ready; its process "
                + (entry.process.isAlive() ? "runs" : "has ended"));
        }
        return holds;
    }

    private static void readLog(InputStream log) {
        Thread thread = new Thread(() -> {
            byte[] buffer = new byte[8192];
            try {
                while (true) {
                    while (isStalled) Deployment.sleep(10);
                    if (log.read(buffer) < 0) return;
                }
            } catch (IOException exception) {
                // The process has ended.
            }
        }, "log reader");
        thread.setDaemon(true);
        thread.start();
    }
}
