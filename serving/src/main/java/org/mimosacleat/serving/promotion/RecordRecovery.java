package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.tinylog.Logger;

/**
 * Restores the primary record of a group after the store came back from an older copy. A proxy that
 * remembers a later record than the store's writes it again at once. Once no promotion of the time
 * before the return can still be requested, a proxy that has had access to the primary all along
 * confirms the record: an unreachable primary can't have been replaced without it, so it knows the
 * latest record, or the former primary is fenced. Until then nobody replaces the primary or begins
 * to use it. If no proxy has had access all along, the endpoints are asked instead.
 */
final class RecordRecovery {
  /** Longer than a claim allows promotion requests, and than such a request takes. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(2_000);

  /** How long proxies without continuous access leave the confirmation to the others. */
  private static final Duration WITNESS_TIMEOUT = Duration.ofMillis(1_500);

  /** How long proxies that are no gateways leave the recovery to the gateways. */
  private static final Duration GATEWAY_TIMEOUT = Duration.ofMillis(2_500);

  private static final Duration MAX_START_DELAY = Duration.ofMillis(300);

  private final GroupId group;
  private final FailoverDependencies dependencies;
  private final GroupStatusPoller statusPoller;

  RecordRecovery(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
    this.statusPoller = new GroupStatusPoller(group, dependencies);
  }

  /**
   * Writes the record again, or confirms it, if that is needed and due.
   *
   * @return whether this proxy has confirmed the record
   */
  boolean recover(RecordedPrimary recorded) {
    boolean lost = dependencies.records().isLost(group);
    if (!lost && recorded.isConfirmed()) {
      return false;
    }
    Duration sinceReturn = sinceReturn();
    Optional<Confirmation> confirmation =
        !recorded.isConfirmed() && mayConfirm(sinceReturn)
            ? dependencies.access().confirmation()
            : Optional.empty();
    if (sinceReturn.isNegative() || (!lost && confirmation.isEmpty())) {
      return false;
    }
    dependencies.sleepRandomly(MAX_START_DELAY);
    return !dependencies.hasChanged(recorded) && write(recorded, confirmation);
  }

  /** Returns the time since this proxy's turn began; negative before it. */
  private Duration sinceReturn() {
    Duration elapsed =
        Duration.between(dependencies.eras().currentSince(), dependencies.clock().instant());
    return dependencies.isGateway().test(group) ? elapsed : elapsed.minus(GATEWAY_TIMEOUT);
  }

  private boolean mayConfirm(Duration sinceReturn) {
    Duration wait =
        dependencies.access().holds(group) ? SETTLING_TIME : SETTLING_TIME.plus(WITNESS_TIMEOUT);
    return sinceReturn.compareTo(wait) >= 0;
  }

  private boolean write(RecordedPrimary recorded, Optional<Confirmation> confirmation) {
    boolean remembers = dependencies.access().holds(group);
    boolean replacing = recorded.record().replacement().isPresent();
    List<Candidate> candidates = replacing || !remembers ? statusPoller.pollAll() : List.of();
    if (confirmation.isPresent() && !remembers && !haveAllAnswered(candidates)) {
      return false;
    }
    PrimaryRecord latest = withPrimaryOfLaterTerm(recorded.record(), candidates);
    PrimaryRecord next = confirmation.map(latest::withConfirmation).orElse(latest);
    Logger.info(
        "{}: the store came back from an older copy; writing the record of term {}, round {},"
            + " primary {}, replacement {} over version {}; confirmed: {}",
        group,
        next.term(),
        next.round(),
        next.primary(),
        next.replacement(),
        recorded.version(),
        confirmation);
    return dependencies
            .write(next, recorded.version())
            .peekLeft(
                failure ->
                    Logger.info("{}: the record could not be written again: {}", group, failure))
            .isRight()
        && confirmation.isPresent();
  }

  /**
   * Returns whether every endpoint has told its term; if one is silent, it may lead a term that is
   * not recorded, until no lease of the time before the return is left.
   */
  private boolean haveAllAnswered(List<Candidate> candidates) {
    Duration longestLease = ProxyLease.DURATION.plus(ProxyLease.EXPIRY_MARGIN);
    return candidates.size() == statusPoller.listed().size()
        || sinceReturn().compareTo(longestLease) > 0;
  }

  /** Returns the record with the endpoint that leads a later term, if one says so. */
  private static PrimaryRecord withPrimaryOfLaterTerm(
      PrimaryRecord record, List<Candidate> candidates) {
    return Candidate.primaryOfLaterTerm(candidates, record.term())
        .map(
            primary ->
                record.withPrimary(
                    primary.entry().id(), primary.status().term(), primary.status().received()))
        .orElse(record);
  }
}
