import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment on loopback: a store, upstreams and entry VMs as separate processes, and the record of what was seen. */
final class Deployment implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final int ROUTE_TIMEOUT_MS = 2000;
    static final int DESCRIPTORS = 4_100;

    /** An entry VM: its process and its addresses. */
    static final class Entry {
        String name;
        String host;
        int port;
        File settings;
        File log;
        Process process;

        int ready() {
            return port + 1;
        }
    }

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;
    private final Path work;
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> locks = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final List<Entry> entries = new ArrayList<>();

    Deployment(File directory) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(directory.toPath().resolve("record.txt")), true);
        work = Files.createTempDirectory("review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }

    synchronized void record(String line) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Writes the configuration: one safe and one unsafe route, and one for uploads, to the service shop. */
    void configure(int version) {
        String rows = "";
        for (String kind : new String[] {"safe", "unsafe", "upload"}) {
            rows += (rows.isEmpty() ? "" : ",") + "[\"" + kind + "\",\"" + HOST + "\",\"/" + kind + "/\",\"" + kind + "\",\"" + ROUTE_TIMEOUT_MS
                + "ms\",\"400ms\",1,\"shop\",2,null]";
        }
        store.write("keyed.op", "config", "{\"version\":\"" + String.format("%08x", version) + "\",\"routes\":{\"columns\":[\"name\",\"host\","
            + "\"path_prefix\",\"kind\",\"timeout\",\"target_latency\",\"priority\",\"service\",\"max_attempts\",\"traffic_split\"],\"rows\":["
            + rows + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"warmup\",\"warmup_per_s\"],"
            + "\"rows\":[[\"shop\",\"/health\",220,\"h1\",false,\"3s\",7.0]]},\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}");
    }

    /** Reserves addresses for a number of entry VMs and writes their settings. */
    void plan(int count) throws IOException {
        int first = 20 + (int) (ProcessHandle.current().pid() % 200);
        for (int number = 0; entries.size() < count && number < 230; number++) {
            Entry entry = new Entry();
            entry.host = "127.0.0." + (20 + (first - 20 + number) % 230);
            // Held until this test ends, so that no other one takes the same address meanwhile.
            ServerSocket lock = bind(entry.host, 20_999);
            if (lock == null) continue;
            locks.add(lock);
            entry.port = freePorts(entry.host);
            if (entry.port == 0) continue;
            entry.name = "edge-" + entries.size();
            entry.settings = work.resolve(entry.name + ".json").toFile();
            entry.log = work.resolve(entry.name + ".log").toFile();
            entries.add(entry);
        }
        if (entries.size() < count) throw new IOException("no free addresses");
        StringBuilder seeds = new StringBuilder();
        for (Entry entry : entries.subList(0, Math.min(3, count))) {
            seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(entry.host).append(':').append(entry.port + 2).append('"');
        }
        for (Entry entry : entries) Files.writeString(entry.settings.toPath(), settings(entry, seeds.toString()));
    }

    /** The first of four free ports, where the port of the metrics is free too; 0 when there is none. */
    private static int freePorts(String host) throws IOException {
        for (int port = 21_000; port < 21_400; port += 4) {
            boolean isFree = isFree(host, 9464);
            for (int offset = 0; offset < 4; offset++) isFree &= isFree(host, port + offset);
            if (isFree) return port;
        }
        return 0;
    }

    private static boolean isFree(String host, int port) throws IOException {
        ServerSocket socket = bind(host, port);
        if (socket == null) return false;
        socket.close();
        return true;
    }

    /** A listening socket, or null when the address is in use. */
    private static ServerSocket bind(String host, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
            return socket;
        } catch (IOException exception) {
            socket.close();
            return null;
        }
    }

    private String settings(Entry entry, String seeds) {
        String listen = "";
        String[] names = {"front", "ready", "control", "directory"};
        for (int offset = 0; offset < names.length; offset++) {
            listen += (offset == 0 ? "" : ",") + "\"" + names[offset] + "\":\"" + entry.host + ":" + (entry.port + offset) + "\"";
        }
        return "{\"node_name\":\"" + entry.name + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"ip\":\"" + entry.host + "\",\"zone\":\"north\","
            + "\"region\":\"levant-north\",\"seeds\":[" + seeds + "],\"bootstrap\":false,\"heartbeat\":\"1500ms\",\"guarantees\":[\"base\",\"drain\","
            + "\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"places\",\"rollout\",\"platform\"],\"listen\":{" + listen + "},"
            + "\"limits\":{\"cpu_share\":0.6,\"cores\":1,\"memory_mb\":430,\"max_fds\":" + DESCRIPTORS + ",\"link_mbps\":1000.0},"
            + "\"bounds\":{\"contact\":\"3000ms\",\"ack\":\"4000ms\",\"drain\":\"2000ms\",\"grace\":\"6s\",\"loss_slack\":\"200ms\","
            + "\"config_apply\":\"2000ms\",\"retry_budget_ratio\":0.2,\"retry_window\":\"10s\",\"retry_budget_slack\":56,\"recover\":\"15s\","
            + "\"probes_per_s\":60},\"platform\":{\"address\":\"" + store.address() + "\",\"form\":\"log\"}}";
    }

    /** The command of the deploy file. */
    ProcessBuilder command(Entry entry) {
        ProcessBuilder builder = new ProcessBuilder("java", "@deploy/entry.args", "-XX:SharedArchiveFile=target/entry.jsa", "-Xshare:auto",
            "@target/entry.args", "dev.goldcrestquay.platform.MainKt");
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(name -> !name.equals("PATH") && !name.equals("HOME") && !name.equals("JAVA_HOME") && !name.equals("LANG"));
        environment.put("GOLDCRESTQUAY_SETTINGS", entry.settings.getAbsolutePath());
        return builder.redirectErrorStream(true);
    }

    /** Starts an entry VM whose output goes to a file. */
    void start(Entry entry) throws IOException {
        entry.process = track(command(entry).redirectOutput(ProcessBuilder.Redirect.appendTo(entry.log)).start());
        record("start " + entry.name + " at " + entry.host + ":" + entry.port);
    }

    Process track(Process process) {
        processes.add(process);
        return process;
    }

    /** Sends a signal to a process that this test started. */
    void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** Waits until an entry VM says that it is ready; returns false when it does not within the time. */
    boolean awaitReady(Entry entry, long milliseconds) {
        long until = System.currentTimeMillis() + milliseconds;
        while (System.currentTimeMillis() < until) {
            if (isReady(entry, 1000)) return true;
            sleep(50);
        }
        return false;
    }

    boolean isReady(Entry entry, int timeout) {
        try {
            return exchange(entry.host, entry.ready(), timeout, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
        } catch (Exception exception) {
            return false;
        }
    }

    /** Sends one request over a new connection and returns its response. */
    static Http.Message exchange(String host, int port, int timeout, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(timeout, 1000));
            socket.setSoTimeout(timeout);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()), true, false);
            if (response == null) throw new IOException("closed without an answer");
            return response;
        }
    }

    String nextId() {
        return String.format("%016x", ids.incrementAndGet());
    }

    /** An ordinary request of a client. */
    String request(String method, String path, String id, int deadline) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nGoldcrestquay-Request-Id: " + id + "\r\nGoldcrestquay-Deadline-Ms: "
            + deadline + "\r\n" + (method.equals("GET") ? "" : "Content-Length: 0\r\n") + "\r\n";
    }

    /** Sends an ordinary request and records it; returns the status, 0 for no answer in time, -1 for a lost connection. */
    int ask(Entry entry, String method, String path, int deadline) {
        String id = nextId();
        record("sent " + id + " " + method + " " + path + " to " + entry.name);
        int status;
        String why = "";
        try {
            Http.Message response = exchange(entry.host, entry.port, deadline, request(method, path, id, deadline));
            status = response.status();
        } catch (java.net.SocketTimeoutException exception) {
            status = 0;
            why = " " + exception.getMessage();
        } catch (IOException exception) {
            status = -1;
            why = " " + exception.getMessage();
        }
        record("answered " + id + " " + status + why);
        return status;
    }

    /**
     * Sends ordinary requests to an entry VM and records how many are answered; returns whether it keeps the rule CONFIG: of the requests
     * that are unanswered at their route's timeout, eight or more, at least half have an answer half a second later.
     */
    boolean keepsTimeouts(Entry entry, int count) throws Exception {
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger soonAfter = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(count);
        for (int number = 0; number < count; number++) {
            Thread thread = new Thread(() -> {
                long sentAt = System.nanoTime();
                int status = ask(entry, "GET", "/safe/ordinary", ROUTE_TIMEOUT_MS + 500);
                boolean isInTime = System.nanoTime() - sentAt <= ROUTE_TIMEOUT_MS * 1_000_000L;
                if (status > 0) (isInTime ? inTime : soonAfter).incrementAndGet();
                ended.countDown();
            });
            thread.setDaemon(true);
            thread.start();
            sleep(20);
        }
        ended.await();
        int late = count - inTime.get();
        int unanswered = late - soonAfter.get();
        record(entry.name + ": of " + count + " ordinary requests " + inTime + " were answered within their route's timeout, " + soonAfter
            + " within half a second after it, and " + unanswered + " had no answer then");
        return late < 8 || unanswered <= late / 2;
    }

    private void endProcesses() {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        File[] files = work.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        work.toFile().delete();
        out.close();
    }
}
