package org.mimosacleat.serving.relay;

import java.time.Instant;

/**
 * One connection to a gateway. A transaction stays on the connection on which it began: the gateway
 * rolls it back when that connection ends.
 */
public interface GatewayConnection {
  /**
   * Sends a request and waits for the reply.
   *
   * @param deadline until when to wait
   */
  RelayResult execute(RelayRequest request, Instant deadline);

  /** Sends a request whose reply is not needed. */
  void send(RelayRequest request);
}
