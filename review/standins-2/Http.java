import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A small HTTP/1.1 server and the reading of messages; every connection has a thread of its own. */
final class Http {
    private Http() {
    }

    /** A request or a response; the first line is split at spaces. */
    static final class Message {
        String firstLine = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String part(int index) {
            String[] parts = firstLine.split(" ", 3);
            return index < parts.length ? parts[index] : "";
        }

        int status() {
            return Integer.parseInt(part(1));
        }

        String uri() {
            return part(1);
        }

        String path() {
            int query = uri().indexOf('?');
            return query < 0 ? uri() : uri().substring(0, query);
        }

        String query(String name) {
            int start = uri().indexOf('?');
            if (start < 0) return null;
            for (String pair : uri().substring(start + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }
    }

    interface Handler {
        /** Answers a request on the socket; returns false to close the connection. */
        boolean handle(Message request, Socket socket) throws Exception;
    }

    /** A server on a free port of a loopback address. */
    static final class Server {
        private static final int STACK_BYTES = 262_144;
        final ServerSocket listener;
        private final int maximumConnections;
        private final AtomicInteger connections = new AtomicInteger();

        Server(String host, int port, Handler handler) throws IOException {
            this(host, port, Integer.MAX_VALUE, handler);
        }

        /** Resets the connections beyond a maximum. */
        Server(String host, int port, int maximumConnections, Handler handler) throws IOException {
            this.maximumConnections = maximumConnections;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
            Thread thread = new Thread(() -> accept(handler), "accept");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    if (connections.incrementAndGet() > maximumConnections) {
                        connections.decrementAndGet();
                        socket.setSoLinger(true, 0);
                        socket.close();
                        continue;
                    }
                    Thread thread = new Thread(null, () -> serve(socket, handler), "connection", STACK_BYTES);
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException ignored) {
                    // Closed, or one connection was lost before it was accepted.
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream(), 16_384);
                while (true) {
                    Message request = read(input, false, false);
                    if (request == null || !handler.handle(request, socket)) return;
                }
            } catch (Exception ignored) {
                // The connection is lost or was closed by the other side.
            } finally {
                connections.decrementAndGet();
            }
        }
    }

    /** Reads a message, or returns null at the end of the stream before it. */
    static Message read(InputStream input, boolean isResponse, boolean toHead) throws IOException {
        Message message = new Message();
        String line = line(input);
        if (line == null) return null;
        message.firstLine = line;
        while (!(line = required(input)).isEmpty()) {
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("not a header: " + line);
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        String coding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        if (toHead || (isResponse && (message.status() == 204 || message.status() == 304 || message.status() < 200))) return message;
        if (coding != null && coding.toLowerCase().contains("chunked")) {
            message.body = chunks(input);
        } else if (length != null) {
            message.body = bytes(input, Integer.parseInt(length));
        } else if (isResponse) {
            message.body = input.readAllBytes();
        }
        return message;
    }

    private static byte[] chunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(required(input).split(";")[0].trim(), 16);
            if (size == 0) break;
            body.write(bytes(input, size));
            required(input);
        }
        while (!required(input).isEmpty()) {
            // Trailers are not used.
        }
        return body.toByteArray();
    }

    private static byte[] bytes(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body ends early");
        return bytes;
    }

    private static String required(InputStream input) throws IOException {
        String line = line(input);
        if (line == null) throw new EOFException("the message ends early");
        return line;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the line ends early");
            }
            if (next == '\n') break;
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Writes a response with a body of known length. */
    static void respond(Socket socket, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        OutputStream output = socket.getOutputStream();
        output.write(message.toByteArray());
        output.flush();
    }
}
