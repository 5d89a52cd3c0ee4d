import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.atomic.AtomicLong;

/** A backend that answers every request, and can be ended and started again at its address. */
final class Backend {

    final int port;
    final AtomicLong served = new AtomicLong();
    private HttpServer server;

    Backend() throws IOException {
        port = Rig.freePort();
        start();
    }

    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(Rig.HOST, port), 64);
        server.createContext("/", exchange -> {
            served.incrementAndGet();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
    }

    void stop() {
        server.stop(0);
    }

    /** Sends one request; returns whether it was answered with 200. */
    static boolean ask(int port, String path) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create(
                    "http://" + Rig.HOST + ":" + port + path).toURL().openConnection();
            connection.setConnectTimeout(250);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
