import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A client hides an order in the body of another request, whose length is stated in a way that can't be relied on. */
public final class Smuggled {
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    private Smuggled() {
    }

    public static void main(String[] arguments) {
        Cases.run(arguments, Smuggled::holds);
    }

    private static boolean holds(Deployment deployment) throws Exception {
        deployment.configure(1);
        for (int number = 0; number < 4; number++) {
            new Upstream(deployment, (upstream, request, socket) -> {
                RUN.add(request.header("Goldcrestquay-Request-Id"));
                deployment.record("the body of " + request.header("Goldcrestquay-Request-Id") + " has " + request.body.length + " bytes");
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
        // A coding that is not known leaves the length of the body unknown: the server has to answer 400 and close the connection.
        holds &= holdsFor(deployment, entry, "unknown", "Transfer-Encoding: xchunked\r\n", "");
        // With both fields the server has to close the connection after its answer.
        holds &= holdsFor(deployment, entry, "both", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n");
        return holds;
    }

    /** Sends one request with another in its body; returns whether only the outer one was run, if any. */
    private static boolean holdsFor(Deployment deployment, Deployment.Entry entry, String name, String framing, String begin) throws Exception {
        String outer = "outer-" + name;
        String inner = "inner-" + name;
        String body = begin + deployment.request("POST", "/unsafe/hidden", inner, 3_000);
        String fields = (deployment.hasTrouble ? framing : "Content-Length: LENGTH\r\n").replace("LENGTH", Integer.toString(body.length()));
        String request = deployment.request("POST", "/unsafe/order", outer, 3_000)
            .replace("Content-Length: 0\r\n", fields) + body;
        deployment.record("sent " + outer + " POST /unsafe/order with " + fields.trim().replace("\r\n", ", ") + "; its body has " + body.length()
            + " bytes and holds a request with the id " + inner);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host, entry.port), 1000);
            socket.setSoTimeout(4_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            for (int number = 1; number <= 2; number++) {
                Http.Message answer = Http.read(input, true, false);
                if (answer == null) break;
                deployment.record("answer " + number + " on this connection: " + answer.status() + ", for "
                    + answer.header("Goldcrestquay-Request-Id"));
            }
        } catch (IOException exception) {
            deployment.record("no further answer: " + exception.getMessage());
        }
        Deployment.sleep(1_000);
        boolean isRun = RUN.contains(inner);
        deployment.record(inner + (isRun ? " was run by an upstream" : " was not run"));
        return !isRun;
    }
}
