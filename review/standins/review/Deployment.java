package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store, upstreams and one entry VM, and the verdict of a case. */
final class Deployment {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Record record;
    final Store store = new Store();
    final List<Upstream> upstreams = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final EntryVm vm;

    interface Case {
        /** Plays the case; returns whether the rule was broken. */
        boolean play(Deployment deployment) throws Exception;
    }

    private Deployment(Path folder, Path temporary) throws Exception {
        record = new Record(folder.resolve("record.txt"));
        long pid = ProcessHandle.current().pid();
        vm = new EntryVm("entry-1", "127.73." + (pid / 250 % 250 + 1) + "." + (pid % 250 + 1), store, temporary);
    }

    /** Runs [played] with its record in the folder that the first argument names, and exits with its verdict. */
    static void run(String[] arguments, Case played) {
        int verdict = COULD_NOT_RUN;
        Deployment deployment = null;
        try {
            deployment = new Deployment(Path.of(arguments[0]), Path.of(arguments[1]));
            deployment.record.add("trouble: %s", deployment.hasTrouble);
            verdict = played.play(deployment) ? BROKEN : HELD;
        } catch (Exception exception) {
            exception.printStackTrace();
            if (deployment != null) deployment.record.add("could not run: %s", exception);
        }
        try {
            if (deployment != null) {
                deployment.vm.kill();
                deployment.record.add("verdict: %s", verdict == HELD ? "the rule held" : verdict == BROKEN ? "the rule was broken" : "none");
            }
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        Runtime.getRuntime().halt(verdict);
    }

    void add(Upstream upstream) {
        upstreams.add(upstream);
    }

    /** Writes the configuration and the upstreams to the store, starts the entry VM and goes on sending status reports. */
    void start(String timeout) throws Exception {
        String rows = "";
        for (String kind : List.of("safe", "unsafe", "upload")) {
            String limit = kind.equals("upload") ? "null" : "\"" + timeout + "\"";
            rows += (rows.isEmpty() ? "" : ",") + "[\"r-" + kind + "\",\"shop.example\",\"/" + kind + "/\",\"" + kind + "\"," + limit
                + ",\"500ms\",1,\"shop\",2,null]";
        }
        store.put("keyed.op", "config", "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\","
            + "\"timeout\",\"target_latency\",\"priority\",\"service\",\"max_attempts\",\"traffic_split\"],\"rows\":[" + rows
            + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\",\"warmup\",\"warmup_per_s\"],"
            + "\"rows\":[[\"shop\",\"/health\",220,\"h1\",false,\"3s\",7.0]]},\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"base_version\":\"00000005\"}");
        for (Upstream upstream : upstreams) store.put("keyed.servers", upstream.id, upstream.beat("shop"));
        vm.start();
        Server.start("beats", () -> {
            while (true) {
                Thread.sleep(1500);
                for (Upstream upstream : upstreams) store.put("keyed.servers", upstream.id, upstream.beat("shop"));
            }
        });
        // The program settles for three seconds after its start.
        Thread.sleep(3500);
        record.add("the entry VM is ready");
    }
}
