package org.mimosacleat.proxy.operations;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;

/** Serves {@code GET /status} as JSON and {@code GET /metrics} in Prometheus text format. */
public final class OperationsServer implements AutoCloseable {
  private static final int OK = 200;
  private static final int METHOD_NOT_ALLOWED = 405;

  private final HttpServer server;

  /**
   * Binds the address; requests are answered after {@link #start}.
   *
   * @param status supplies the body for {@code /status}
   * @param metrics supplies the body for {@code /metrics}
   */
  public OperationsServer(
      InetSocketAddress address,
      Supplier<String> status,
      Supplier<String> metrics,
      ExecutorService executor)
      throws IOException {
    this.server = HttpServer.create(address, 0);
    server.setExecutor(executor);
    server.createContext("/status", exchange -> respond(exchange, "application/json", status));
    server.createContext(
        "/metrics", exchange -> respond(exchange, "text/plain; version=0.0.4", metrics));
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Starts to answer requests. */
  public void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private static void respond(HttpExchange exchange, String type, Supplier<String> page)
      throws IOException {
    try (exchange) {
      if (!exchange.getRequestMethod().equals("GET")) {
        exchange.sendResponseHeaders(METHOD_NOT_ALLOWED, -1);
        return;
      }
      byte[] body = page.get().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", type);
      exchange.sendResponseHeaders(OK, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
