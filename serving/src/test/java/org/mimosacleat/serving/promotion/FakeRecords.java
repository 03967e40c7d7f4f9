package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** In-memory shared records with a settable store time and simulated outages. */
final class FakeRecords implements SharedRecords {
  final List<PrimaryRecord> written = new ArrayList<>();
  final Map<VmId, ProxyRecord> proxies = new HashMap<>();
  final List<StopRecord> stops = new ArrayList<>();
  Optional<RecordedPrimary> primary = Optional.empty();
  long storeMillis = 1_000_000;
  boolean down;
  boolean losesNextAnswer;
  private final Map<VmId, Long> versions = new HashMap<>();
  private Runnable lateWrite = () -> {};
  private long version = 100;
  private Copy copy = new Copy(Optional.empty(), Map.of(), List.of(), Map.of(), 0);

  /** Keeps a copy of everything that is stored now. */
  void copy() {
    copy =
        new Copy(primary, Map.copyOf(proxies), List.copyOf(stops), Map.copyOf(versions), version);
  }

  /** Comes back from the copy: what was written since is lost, and versions are given out again. */
  void comeBackFromCopy() {
    primary = copy.primary();
    proxies.clear();
    proxies.putAll(copy.proxies());
    stops.clear();
    stops.addAll(copy.stops());
    versions.clear();
    versions.putAll(copy.versions());
    version = copy.version();
  }

  @Override
  public Either<RecordFailure, Long> writePrimary(PrimaryRecord record, long expectedVersion) {
    if (down) {
      return Either.left(RecordFailure.NOT_DONE);
    }
    if (primary.map(RecordedPrimary::version).orElse(0L) != expectedVersion) {
      return Either.left(RecordFailure.CONFLICT);
    }
    primary = Optional.of(new RecordedPrimary(record, ++version));
    written.add(record);
    return Either.right(version);
  }

  @Override
  public Either<RecordFailure, List<RecordedPrimary>> readPrimaries() {
    return answer(primary.stream().toList());
  }

  @Override
  public Either<RecordFailure, Long> writeStop(StopRecord stop) {
    stops.add(stop);
    return answer(++version);
  }

  @Override
  public Either<RecordFailure, List<StopRecord>> readStops(GroupId group) {
    return answer(List.copyOf(stops));
  }

  @Override
  public Either<RecordFailure, Long> renewProxy(ProxyRecord proxy, long expectedVersion) {
    if (losesNextAnswer) {
      losesNextAnswer = false;
      lateWrite = () -> write(proxy, expectedVersion);
      return Either.left(RecordFailure.UNCERTAIN);
    }
    return down ? Either.left(RecordFailure.NOT_DONE) : write(proxy, expectedVersion);
  }

  /** Performs the write whose answer was lost. */
  void performLateWrite() {
    lateWrite.run();
  }

  private Either<RecordFailure, Long> write(ProxyRecord proxy, long expectedVersion) {
    if (versions.getOrDefault(proxy.proxy(), ProxyList.ABSENT) != expectedVersion) {
      return Either.left(RecordFailure.CONFLICT);
    }
    proxies.put(proxy.proxy(), proxy);
    versions.put(proxy.proxy(), ++version);
    return Either.right(version);
  }

  @Override
  public Either<RecordFailure, Long> removeProxy(VmId proxy, long expectedVersion) {
    proxies.remove(proxy);
    versions.remove(proxy);
    return answer(++version);
  }

  @Override
  public Either<RecordFailure, ProxyList> readProxies() {
    return answer(new ProxyList(List.copyOf(proxies.values()), versions, storeMillis));
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
