package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;

/** In-memory shared records with a settable store time and simulated outages. */
final class FakeRecords implements SharedRecords {
  final List<PrimaryRecord> written = new ArrayList<>();
  final Map<VmId, ProxyRecord> proxies = new HashMap<>();
  final List<StopRecord> stops = new ArrayList<>();
  Optional<RecordedPrimary> primary = Optional.empty();
  long storeMillis = 1_000_000;
  boolean down;
  boolean losesNextAnswer;

  /** Runs before each answer to a write of a primary's record. */
  Runnable beforeAnswer = () -> {};

  /** Calls that write lease records, whatever their result. */
  int renewalCalls;

  /** Changes what is stored of each record of a primary. */
  UnaryOperator<PrimaryRecord> storing = UnaryOperator.identity();

  /** Of records that the store holds from the start. */
  static final Confirmation CONFIRMED = new Confirmation(new StoreEra(1), 0);

  final StoreEras eras;
  private final Map<VmId, Long> versions = new HashMap<>();
  private Runnable lateWrite = () -> {};
  private long version = 100;
  private Copy copy = new Copy(Optional.empty(), Map.of(), List.of(), Map.of(), 0);

  /** Creates an empty store in its first era; the clock tells when an era is seen. */
  FakeRecords(InstantSource clock) {
    eras = new StoreEras(clock);
    eras.observe(CONFIRMED.era());
  }

  /** Keeps a copy of everything that is stored now. */
  void copy() {
    copy =
        new Copy(primary, Map.copyOf(proxies), List.copyOf(stops), Map.copyOf(versions), version);
  }

  /** Comes back from the copy: what was written since is lost, and versions are given out again. */
  void comeBackFromCopy() {
    eras.observe(new StoreEra(eras.current().number() + 1));
    primary =
        copy.primary()
            .map(kept -> new RecordedPrimary(kept.record(), version(kept.version().number())));
    proxies.clear();
    proxies.putAll(copy.proxies());
    stops.clear();
    stops.addAll(copy.stops());
    versions.clear();
    versions.putAll(copy.versions());
    version = copy.version();
  }

  @Override
  public Either<RecordFailure, StoreVersion> writePrimary(
      PrimaryRecord record, StoreVersion expected) {
    if (down) {
      return Either.left(RecordFailure.NOT_DONE);
    }
    if (primary.map(RecordedPrimary::version).orElse(version(0)).number() != expected.number()) {
      return Either.left(RecordFailure.CONFLICT);
    }
    primary = Optional.of(new RecordedPrimary(storing.apply(record), version(++version)));
    written.add(record);
    Either<RecordFailure, StoreVersion> answer = performed(expected);
    beforeAnswer.run();
    return answer;
  }

  @Override
  public Either<RecordFailure, List<RecordedPrimary>> readPrimaries() {
    return answer(primary.stream().toList());
  }

  @Override
  public Either<RecordFailure, StoreVersion> writeStop(StopRecord stop) {
    stops.add(stop);
    return answer(version(++version));
  }

  @Override
  public Either<RecordFailure, List<StopRecord>> readStops(GroupId group) {
    return answer(List.copyOf(stops));
  }

  @Override
  public Either<RecordFailure, StoreVersion> renewProxy(ProxyRecord proxy, StoreVersion expected) {
    renewalCalls++;
    if (losesNextAnswer) {
      losesNextAnswer = false;
      lateWrite = () -> write(proxy, expected);
      return Either.left(RecordFailure.UNCERTAIN);
    }
    return down ? Either.left(RecordFailure.NOT_DONE) : write(proxy, expected);
  }

  @Override
  public Either<RecordFailure, StoreVersion> renewProxies(List<LeaseRenewal> renewals) {
    renewalCalls++;
    if (losesNextAnswer) {
      losesNextAnswer = false;
      lateWrite = () -> writeAll(renewals);
      return Either.left(RecordFailure.UNCERTAIN);
    }
    return down ? Either.left(RecordFailure.NOT_DONE) : writeAll(renewals);
  }

  private Either<RecordFailure, StoreVersion> writeAll(List<LeaseRenewal> renewals) {
    if (!renewals.stream().allMatch(this::hasExpectedVersion)) {
      return Either.left(RecordFailure.CONFLICT);
    }
    version++;
    for (LeaseRenewal renewal : renewals) {
      proxies.put(renewal.record().proxy(), renewal.record());
      versions.put(renewal.record().proxy(), version);
    }
    return performed(renewals.getFirst().expected());
  }

  private boolean hasExpectedVersion(LeaseRenewal renewal) {
    long present = versions.getOrDefault(renewal.record().proxy(), 0L);
    return present == renewal.expected().number();
  }

  /** Performs the write whose answer was lost. */
  void performLateWrite() {
    lateWrite.run();
  }

  private Either<RecordFailure, StoreVersion> write(ProxyRecord proxy, StoreVersion expected) {
    if (versions.getOrDefault(proxy.proxy(), 0L) != expected.number()) {
      return Either.left(RecordFailure.CONFLICT);
    }
    proxies.put(proxy.proxy(), proxy);
    versions.put(proxy.proxy(), ++version);
    return performed(expected);
  }

  @Override
  public Either<RecordFailure, StoreVersion> removeProxy(VmId proxy, StoreVersion expected) {
    if (versions.getOrDefault(proxy, 0L) != expected.number()) {
      return Either.left(RecordFailure.CONFLICT);
    }
    proxies.remove(proxy);
    versions.remove(proxy);
    return answer(version(++version));
  }

  @Override
  public Either<RecordFailure, ProxyList> readProxies() {
    return answer(
        new ProxyList(List.copyOf(proxies.values()), versions, eras.current(), storeMillis));
  }

  /** A condition of an earlier era may hold for a version that was given out again. */
  private Either<RecordFailure, StoreVersion> performed(StoreVersion expected) {
    return expected.era().equals(eras.current())
        ? Either.right(version(version))
        : Either.left(RecordFailure.UNCERTAIN);
  }

  private StoreVersion version(long number) {
    return new StoreVersion(eras.current(), number);
  }

  private <T> Either<RecordFailure, T> answer(T value) {
    return down ? Either.left(RecordFailure.NOT_DONE) : Either.right(value);
  }

  private record Copy(
      Optional<RecordedPrimary> primary,
      Map<VmId, ProxyRecord> proxies,
      List<StopRecord> stops,
      Map<VmId, Long> versions,
      long version) {}
}
