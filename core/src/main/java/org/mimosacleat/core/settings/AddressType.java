package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * A TCP address: an IP address and a port, as in {@code 10.0.0.7:5432} or {@code [::1]:5432}. Host
 * names are rejected, so that reading settings performs no DNS lookup.
 */
public record AddressType() implements ValueType<InetSocketAddress> {
  private static final int MAXIMUM_PORT = 65_535;

  @Override
  public Either<String, InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      return Either.left(allowed());
    }
    try {
      InetAddress address = InetAddress.ofLiteral(withoutBrackets(text.substring(0, colon)));
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > MAXIMUM_PORT
          ? Either.left(allowed())
          : Either.right(new InetSocketAddress(address, port));
    } catch (IllegalArgumentException notAnAddress) {
      return Either.left(allowed());
    }
  }

  /** Formats an address so that {@link #parse} accepts it. */
  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    String literal = host.contains(":") ? "[" + host + "]" : host;
    return literal + ":" + address.getPort();
  }

  private static String withoutBrackets(String host) {
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    return bracketed ? host.substring(1, host.length() - 1) : host;
  }

  @Override
  public String allowed() {
    return "IP:PORT with a port from 0 to " + MAXIMUM_PORT;
  }
}
