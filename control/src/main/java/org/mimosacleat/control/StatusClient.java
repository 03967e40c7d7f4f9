package org.mimosacleat.control;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.store.status.StatusReader;

/** Fetches the status of proxies over HTTP. */
final class StatusClient {
  private static final int OK = 200;

  private final HttpClient http;
  private final Duration timeout;

  StatusClient(HttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  Either<Failure, ProxyStatus> fetch(InetSocketAddress proxy) {
    String address = AddressType.format(proxy);
    URI uri = URI.create("http://" + address + "/status");
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(timeout).build();
    try {
      var response = http.send(request, BodyHandlers.ofString());
      return response.statusCode() == OK
          ? StatusReader.parse(response.body())
          : unavailable(address + " returned HTTP status " + response.statusCode());
    } catch (IOException unreachable) {
      return unavailable(address + " did not respond: " + unreachable);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return unavailable("the status request to " + address + " was interrupted");
    }
  }

  private static Either<Failure, ProxyStatus> unavailable(String detail) {
    return Either.left(new Failure(ErrorKind.UNAVAILABLE, detail));
  }
}
