package org.mimosacleat.serving.peer;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.promotion.ProxyRecord;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.relay.RelayReply;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.version.StoreVersion;

/** One message between two proxies. */
sealed interface PeerFrame {
  /**
   * Asks the receiver to run a request.
   *
   * @param correlationId chosen by the sender, unique on this connection
   * @param request the request
   */
  record Request(long correlationId, RelayRequest request) implements PeerFrame {}

  /**
   * Answers the request with the same correlation id.
   *
   * @param correlationId the id of the request
   * @param reply the reply
   */
  record Reply(long correlationId, RelayReply reply) implements PeerFrame {}

  /**
   * Says that the request with the same correlation id was not run.
   *
   * @param correlationId the id of the request
   * @param reason why
   */
  record Rejected(long correlationId, String reason) implements PeerFrame {}

  /**
   * Asks the receiver to stop using the primary that a claim replaces.
   *
   * @param correlationId chosen by the sender, unique on this connection
   * @param claim the recorded claim of the sender
   */
  record StopPrimary(long correlationId, RecordedPrimary claim) implements PeerFrame {}

  /**
   * Confirms the request with the same correlation id.
   *
   * @param correlationId the id of the request
   * @param fenced whether the primary was fenced
   */
  record Stopped(long correlationId, boolean fenced) implements PeerFrame {}

  /**
   * Asks the receiver to pass on the changes that it reads from the store.
   *
   * @param known the version of the operator's table that the sender has applied, if any
   */
  record Follow(Optional<StoreVersion> known) implements PeerFrame {}

  /**
   * Passes changes on.
   *
   * @param page the changes
   */
  record Changes(FeedPage page) implements PeerFrame {}

  /**
   * Asks for a {@link StoreContact}.
   *
   * @param nonce chosen by the sender, unique among its questions
   */
  record AskContact(long nonce) implements PeerFrame {}

  /**
   * Answers an {@link AskContact} with what the sender can prove about its configuration.
   *
   * @param nonce the number of the question
   * @param age how long ago the sender's configuration was known to be current
   * @param version the version of the operator's table that the sender has applied
   */
  record StoreContact(long nonce, Duration age, StoreVersion version) implements PeerFrame {}

  /** Asks for a {@link Pong}, which shows that the receiver is alive. */
  record Ping() implements PeerFrame {}

  /** Answers a {@link Ping}. */
  record Pong() implements PeerFrame {}

  /** Announces that the sender is shutting down: it takes no new statements or transactions. */
  record Leaving() implements PeerFrame {}

  /**
   * Reports the demand of the teams to the limit coordinator.
   *
   * @param correlationId chosen by the sender, unique on this connection
   * @param report the report
   */
  record ReportDemand(long correlationId, DemandReport report) implements PeerFrame {}

  /**
   * Answers the report with the same correlation id.
   *
   * @param correlationId the id of the report
   * @param answer the granted shares, or the present coordinator
   */
  record GrantShares(long correlationId, LimitAnswer answer) implements PeerFrame {}

  /**
   * Asks the receiver to write the lease record of the sender together with those of others.
   *
   * @param correlationId chosen by the sender, unique on this connection
   * @param proxy the record to write
   * @param expected the version that the stored record must still have
   */
  record RenewLease(long correlationId, ProxyRecord proxy, StoreVersion expected)
      implements PeerFrame {}

  /**
   * Confirms the renewal with the same correlation id.
   *
   * @param correlationId the id of the renewal
   * @param version the new version of the record
   */
  record LeaseRenewed(long correlationId, StoreVersion version) implements PeerFrame {}
}
