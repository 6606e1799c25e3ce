package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Clients upload photographs of 20 MB; the configuration in force allows 64 MiB. Without the trouble, they are of 10 MB. */
final class UploadWithinLimit {
    private static final int LARGE_BYTES = 20_000_000;
    private static final int SMALLER_BYTES = 10_000_000;
    private static final int UPLOADS = 20;
    private static final int ORDERS = 60;
    private static final int PIECE_BYTES = 65_536;
    private static final int DEADLINE_MILLISECONDS = 4000;

    /** The rule allows five refused requests and one in this many of all requests. */
    private static final int REQUESTS_PER_ALLOWED_REFUSAL = 500;

    public static void main(String[] arguments) {
        Deployment.run(arguments, UploadWithinLimit::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        for (int number = 1; number <= 3; number++) deployment.add(new Upstream("i-" + number, deployment.record));
        deployment.start("2000ms");
        int denied = 0;
        for (int number = 0; number < ORDERS; number++) {
            String id = "order-" + number;
            try (Client client = new Client(deployment.vm)) {
                Client.Outcome outcome = client.send("POST", "/unsafe/" + id, id, DEADLINE_MILLISECONDS, "order".getBytes());
                if (isDenied(outcome.status())) denied++;
                deployment.record.add("client of %s got %s", id, outcome);
            }
        }
        byte[] photograph = new byte[deployment.hasTrouble ? LARGE_BYTES : SMALLER_BYTES];
        for (int number = 0; number < UPLOADS; number++) {
            String id = "photo-" + number;
            int status = upload(deployment, id, photograph);
            if (isDenied(status)) denied++;
            deployment.record.add("client of %s (%d bytes) got %s", id, photograph.length, status == 0 ? "no answer" : status);
        }
        double allowed = 5 + (ORDERS + UPLOADS) / (double) REQUESTS_PER_ALLOWED_REFUSAL;
        deployment.record.add("ended with a 4xx of the entry VM's own: %d, allowed: %.2f", denied, allowed);
        return denied > allowed;
    }

    private static boolean isDenied(int status) {
        return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    }

    /** Sends an upload piece by piece and stops at an early answer; returns the status, or 0 when no answer came. */
    private static int upload(Deployment deployment, String id, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.vm.host, deployment.vm.firstPort), 1000);
            socket.setSoTimeout(DEADLINE_MILLISECONDS);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String head = "POST /upload/" + id + " HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: " + id
                + "\r\nGoldcrestquay-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int from = 0; from < body.length && in.available() == 0; from += PIECE_BYTES) {
                out.write(body, from, Math.min(PIECE_BYTES, body.length - from));
            }
            HttpMessage answer = HttpMessage.read(in, true);
            return answer == null ? 0 : answer.status();
        } catch (IOException exception) {
            deployment.record.add("client of %s: %s", id, exception);
            return 0;
        }
    }
}
