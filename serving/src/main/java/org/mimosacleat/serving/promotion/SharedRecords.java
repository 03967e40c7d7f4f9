package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * The records that all proxies share. Calls block until answered; implementations are thread-safe.
 */
public interface SharedRecords {
  /**
   * Replaces a group's record if its version is still {@code expectedVersion}.
   *
   * @return the new version
   */
  Either<RecordFailure, Long> writePrimary(PrimaryRecord record, long expectedVersion);

  /** Reads the records of all groups. */
  Either<RecordFailure, List<RecordedPrimary>> readPrimaries();

  /** Records that this proxy has stopped using a primary. */
  Either<RecordFailure, Long> writeStop(StopRecord stop);

  /** Reads which proxies have stopped using a group's primary. */
  Either<RecordFailure, List<StopRecord>> readStops(GroupId group);

  /**
   * Writes the lease record of a proxy if its version is still {@code expectedVersion}. A write
   * that the store performs late can't replace a newer record.
   *
   * @return the new version
   */
  Either<RecordFailure, Long> renewProxy(ProxyRecord proxy, long expectedVersion);

  /**
   * Removes the lease record of a proxy that no longer uses any primary, if its version is still
   * {@code expectedVersion}.
   */
  Either<RecordFailure, Long> removeProxy(VmId proxy, long expectedVersion);

  /** Reads the lease records of all proxies, with the store's time of the answer. */
  Either<RecordFailure, ProxyList> readProxies();
}
