package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreEra;
import org.tinylog.Logger;

/**
 * The proxies that may still use a primary while it is being replaced: those whose lease record
 * names the group, until they have confirmed that they stopped, or their lease has expired. They
 * confirm directly and through the store, so that the loss of one way does not delay a replacement.
 */
final class PrimaryUsers {
  private static final Duration LIST_INTERVAL = Duration.ofMillis(1_000);
  private static final Duration STOP_RECORDS_INTERVAL = Duration.ofMillis(200);

  private final FailoverDependencies dependencies;
  private final GroupId group;
  private final Set<VmId> stopped = ConcurrentHashMap.newKeySet();
  private final Set<VmId> beingAsked = ConcurrentHashMap.newKeySet();
  private volatile boolean fenced;
  private ProxyList list = new ProxyList(List.of(), Map.of(), StoreEra.UNKNOWN, 0);
  private Confirmation confirmation = Confirmation.NONE;
  private Instant nextListAt = Instant.MIN;
  private Instant nextStopRecordsAt = Instant.MIN;

  PrimaryUsers(FailoverDependencies dependencies, GroupId group) {
    this.dependencies = dependencies;
    this.group = group;
    stopped.add(dependencies.self());
  }

  /**
   * Returns whether the primary is fenced, or no proxy can use it any longer.
   *
   * @param claim the claim of the replacement, which must be recorded already
   */
  boolean haveStopped(RecordedPrimary claim) {
    if (!refreshList()) {
      return false;
    }
    confirmation = claim.record().confirmation();
    List<ProxyRecord> users = remainingUsers();
    users.forEach(user -> askDirectly(user.proxy(), claim));
    if (!users.isEmpty()) {
      readStopRecords(claim);
    }
    return fenced || (remainingUsers().isEmpty() && isListComplete(claim));
  }

  /**
   * After a return of the store from an older copy the list lacks proxies that gained access
   * shortly before it, until they have renewed their lease or their access has ended. The claim may
   * be lost then, too.
   */
  private boolean isListComplete(RecordedPrimary claim) {
    return list.era().equals(claim.version().era())
        && confirmation.isListCompleteAt(list.storeMillis());
  }

  /** Logs the proxies that have not confirmed. */
  void logRemaining() {
    List<ProxyRecord> remaining = remainingUsers();
    if (!fenced && !remaining.isEmpty()) {
      Logger.warn("{}: proxies that may still use the primary: {}", group, remaining);
    }
  }

  private List<ProxyRecord> remainingUsers() {
    List<ProxyRecord> remaining = new ArrayList<>();
    for (ProxyRecord proxy : list.proxies()) {
      boolean mayUse =
          proxy.mayUsePrimaryOf(group) && !confirmation.hasExpired(proxy, list.storeMillis());
      if (mayUse && !stopped.contains(proxy.proxy())) {
        remaining.add(proxy);
      }
    }
    return remaining;
  }

  private boolean refreshList() {
    Instant now = dependencies.clock().instant();
    if (now.isBefore(nextListAt)) {
      return true;
    }
    Either<RecordFailure, ProxyList> read = dependencies.sharedRecords().readProxies();
    read.peek(
        proxies -> {
          list = proxies;
          nextListAt = now.plus(LIST_INTERVAL);
        });
    return read.isRight();
  }

  private void readStopRecords(RecordedPrimary claim) {
    Instant now = dependencies.clock().instant();
    if (now.isBefore(nextStopRecordsAt)) {
      return;
    }
    nextStopRecordsAt = now.plus(STOP_RECORDS_INTERVAL);
    dependencies
        .sharedRecords()
        .readStops(group)
        .peek(
            stops -> stops.stream().filter(stop -> stop.confirms(claim)).forEach(this::recordStop));
  }

  private void askDirectly(VmId proxy, RecordedPrimary claim) {
    if (beingAsked.add(proxy)) {
      dependencies.executor().execute(() -> ask(proxy, claim));
    }
  }

  private void ask(VmId proxy, RecordedPrimary claim) {
    try {
      dependencies.peers().requestStop(proxy, claim).ifPresent(this::recordStop);
    } finally {
      beingAsked.remove(proxy);
    }
  }

  private void recordStop(StopRecord stop) {
    fenced = fenced || stop.fenced();
    stopped.add(stop.proxy());
  }
}
