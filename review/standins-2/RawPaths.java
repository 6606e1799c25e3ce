import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send paths and queries with letters beyond ASCII as UTF-8, without percent signs. */
public final class RawPaths {
    private static final Map<String, String> SEEN = new ConcurrentHashMap<>();

    private RawPaths() {
    }

    public static void main(String[] arguments) {
        Cases.run(arguments, RawPaths::holds);
    }

    private static boolean holds(Deployment deployment) throws Exception {
        deployment.configure(1);
        for (int number = 0; number < 4; number++) {
            new Upstream(deployment, (upstream, request, socket) -> {
                SEEN.put(request.header("Goldcrestquay-Request-Id"), request.uri());
                return Upstream.answerAfter(30).run(upstream, request, socket);
            });
        }
        deployment.plan(1);
        Deployment.Entry entry = deployment.entries.get(0);
        deployment.start(entry);
        Cases.require(deployment.awaitReady(entry, 20_000), entry.name + " is not ready");
        Deployment.sleep(5_000);
        Cases.require(deployment.ask(entry, "GET", "/safe/before", 3_000) == 200, "requests fail before");
        boolean holds = true;
        for (String target : new String[] {"/safe/glaze?name=caf\u00e9", "/unsafe/orders/caf\u00e9", "/unsafe/orders?client=\u0631\u0646\u0627"}) {
            // As bytes, each of which is one character here.
            String raw = new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            holds &= isForwarded(deployment, entry, deployment.hasTrouble ? raw : escaped(raw));
        }
        return holds;
    }

    private static String escaped(String raw) {
        StringBuilder text = new StringBuilder();
        for (char character : raw.toCharArray()) {
            text.append(character < 0x80 ? String.valueOf(character) : String.format("%%%02X", (int) character));
        }
        return text.toString();
    }

    /** Whether no upstream runs the request with another path or query than was sent; a refusal keeps the rule. */
    private static boolean isForwarded(Deployment deployment, Deployment.Entry entry, String target) {
        String id = deployment.nextId();
        String method = target.startsWith("/safe") ? "GET" : "POST";
        deployment.record("sent " + id + " " + method + " " + escaped(target) + (target.equals(escaped(target)) ? "" : ", raw"));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host, entry.port), 1000);
            socket.setSoTimeout(4_000);
            socket.getOutputStream().write(deployment.request(method, target, id, 3_000).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true, false);
            deployment.record("answered " + id + " " + (answer == null ? "by closing the connection" : answer.status()));
        } catch (IOException exception) {
            deployment.record("answered " + id + " not: " + exception.getMessage());
        }
        String seen = SEEN.get(id);
        deployment.record(seen == null ? id + " was not run" : "run " + id + " as " + escaped(seen) + (seen.equals(target) ? "" : ": changed"));
        return seen == null || seen.equals(target);
    }
}
