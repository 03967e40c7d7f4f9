package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** The records that all proxies share. Calls wait for their answer; any thread may make them. */
public interface SharedRecords {
  /**
   * Replaces a group's record if it still has a version.
   *
   * @return the new version
   */
  Either<RecordFailure, Long> writePrimary(PrimaryRecord record, long expectedVersion);

  /** Records that this proxy has stopped to use a primary. */
  Either<RecordFailure, Long> writeStop(StopRecord stop);

  /** Reads which proxies have stopped to use a group's primary. */
  Either<RecordFailure, List<StopRecord>> readStops(GroupId group);

  /** Records that a proxy may use primaries. */
  Either<RecordFailure, Long> renewProxy(ProxyRecord proxy);

  /** Removes a proxy that uses no primary any more. */
  Either<RecordFailure, Long> removeProxy(VmId proxy);

  /** Reads all proxies, with the store's time at the answer. */
  Either<RecordFailure, ProxyList> readProxies();
}
