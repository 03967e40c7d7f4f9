package org.mimosacleat.serving.relay;

/** The outcome of a request to a gateway. */
public sealed interface RelayResult {
  /**
   * The gateway replied.
   *
   * @param reply the reply
   */
  record Replied(RelayReply reply) implements RelayResult {}

  /**
   * The gateway has not run the request, and will not.
   *
   * @param reason why
   */
  record NotRun(String reason) implements RelayResult {}

  /**
   * No reply arrived; the gateway may have run the request, or may still run it.
   *
   * @param reason why
   */
  record Unknown(String reason) implements RelayResult {}
}
