package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound client with one connection: sends a request and waits for the answer up to its time limit. */
final class Client implements AutoCloseable {
    private static final int CHUNK_BYTES = 65_536;

    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    /** What a client saw of one request: the answer, or why there is none. */
    record Outcome(HttpMessage answer, String failure, long milliseconds) {
        /** Whether a whole answer came. */
        boolean isComplete() {
            return answer != null && answer.isComplete;
        }

        int status() {
            return answer == null ? 0 : answer.status();
        }

        @Override
        public String toString() {
            if (answer == null) return failure + " after " + milliseconds + " ms";
            return answer.status() + (answer.isComplete ? "" : " without its end") + ", " + answer.body.length + " bytes, seal "
                + answer.header("Goldcrestquay-Server-Seal") + " after " + milliseconds + " ms";
        }
    }

    Client(EntryVm vm) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(vm.host, vm.firstPort), 1000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Outcome send(String method, String path, String id, long deadlineMilliseconds, byte[] body) {
        return send(method, path, id, deadlineMilliseconds, body, false);
    }

    Outcome send(String method, String path, String id, long deadlineMilliseconds, byte[] body, boolean inChunks) {
        long startedAt = System.nanoTime();
        try {
            socket.setSoTimeout((int) deadlineMilliseconds);
            String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nGoldcrestquay-Request-Id: " + id
                + "\r\nGoldcrestquay-Deadline-Ms: " + deadlineMilliseconds + "\r\n"
                + (inChunks ? "Transfer-Encoding: chunked\r\n" : body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (inChunks) writeChunks(out, body);
            else out.write(body);
            out.flush();
            HttpMessage answer = HttpMessage.read(in, true);
            return new Outcome(answer, answer == null ? "the connection was closed without an answer" : null, since(startedAt));
        } catch (IOException exception) {
            return new Outcome(null, "no answer: " + exception, since(startedAt));
        }
    }

    private static void writeChunks(OutputStream out, byte[] body) throws IOException {
        for (int from = 0; from < body.length; from += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - from);
            out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, from, length);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static long since(long startedAt) {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
