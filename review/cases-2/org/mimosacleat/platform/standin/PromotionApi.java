package org.mimosacleat.platform.standin;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** The platform's promotion call, which may be slow: it then works on each call that much later. */
final class PromotionApi {
  private static final long PROMOTE_MILLIS = 300;
  private final Lab lab;
  private final int port;

  /** How long the platform takes until it works on a call, in milliseconds. */
  volatile long slownessMillis;

  PromotionApi(Lab lab) throws IOException {
    this.lab = lab;
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/promote", this::promote);
    server.start();
    port = server.getAddress().getPort();
  }

  /** Creates a proxy whose promotion calls come here. */
  Proxy proxy(String name, String zone) throws IOException {
    int storePort = lab.store.serve(name, (_, _, address) -> address);
    Proxy proxy = new Proxy(name, zone, storePort, port, lab.folder);
    lab.proxies.add(proxy);
    return proxy;
  }

  private void promote(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    JsonObject call = JsonParser.parseString(body).getAsJsonObject();
    String id = call.get("id").getAsString();
    String token = exchange.getRequestHeaders().getFirst("X-Fence-Token");
    String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
    long slowness = slownessMillis;
    lab.journal.say(
        "POST /promote " + id + " by " + holder + ", token " + token + ", delayed by " + slowness);
    Store.pause(slowness);
    boolean taken = lab.group.promote(id, PROMOTE_MILLIS);
    lab.journal.say("promotion of " + id + ", token " + token + ", taken: " + taken);
    try {
      Store.answer(exchange, taken ? 200 : 409, new JsonObject());
    } catch (IOException callerGone) {
      lab.journal.line("the caller of the promotion with token " + token + " is gone");
    }
  }
}
