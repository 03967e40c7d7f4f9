package org.mimosacleat.standin.platform;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A response of the HTTP stand-in.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body; empty for none
 * @param body the body, sent as UTF-8
 */
record HttpResponse(int status, String contentType, String body) {
  static final int OK = 200;
  private static final int NO_BODY = -1;
  private static final int NOT_MODIFIED = 304;

  void send(HttpExchange exchange) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    if (!contentType.isEmpty()) {
      exchange.getResponseHeaders().set("Content-Type", contentType);
    }
    boolean empty = bytes.length == 0 || status == NOT_MODIFIED;
    exchange.sendResponseHeaders(status, empty ? NO_BODY : bytes.length);
    if (!empty) {
      exchange.getResponseBody().write(bytes);
    }
  }
}
