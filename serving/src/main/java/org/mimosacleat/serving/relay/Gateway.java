package org.mimosacleat.serving.relay;

import java.time.Instant;

/** Another proxy that runs statements for this one on its connections to endpoints. */
public interface Gateway {
  /**
   * Sends a request and waits for the reply.
   *
   * @param deadline until when to wait
   */
  RelayResult execute(RelayRequest request, Instant deadline);

  /** Sends a request whose reply is not needed. */
  void send(RelayRequest request);
}
