package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.net.URI;
import java.net.URISyntaxException;

/** The URL of an HTTP service, as in {@code http://10.0.0.9:8000}. */
public record UriType() implements ValueType<URI> {
  @Override
  public Either<String, URI> parse(String text) {
    try {
      URI uri = new URI(text);
      boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      return http && uri.getHost() != null ? Either.right(uri) : Either.left(allowed());
    } catch (URISyntaxException notAnAddress) {
      return Either.left(allowed());
    }
  }

  @Override
  public String allowed() {
    return "a URL that starts with http:// or https://";
  }
}
