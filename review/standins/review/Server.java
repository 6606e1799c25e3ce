package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server on a free loopback port with one thread a connection. */
abstract class Server {
    private final ServerSocket listener = new ServerSocket();

    Server() throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        start("accept", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                start("connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            while (true) {
                HttpMessage request = HttpMessage.read(in, false);
                if (request == null || !request.isComplete) return;
                handle(request, connection);
            }
        } catch (IOException exception) {
            // The other side has closed or reset the connection.
        }
    }

    /** Answers one request; the next one of the connection is read after it returns. */
    abstract void handle(HttpMessage request, Connection connection) throws IOException;

    /** One connection of a caller; [state] is for the handler. */
    static final class Connection {
        final Socket socket;
        Object state;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Writes all bytes with one call, so that on loopback they arrive together. */
        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception exception) {
                if (!(exception instanceof IOException)) exception.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
