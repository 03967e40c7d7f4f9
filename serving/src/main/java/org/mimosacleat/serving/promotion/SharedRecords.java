package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * The records that all proxies share. Calls block until answered; implementations are thread-safe.
 */
public interface SharedRecords {
  /**
   * Replaces a group's record if its version is still {@code expected}, in the same era.
   *
   * @return the new version
   */
  Either<RecordFailure, StoreVersion> writePrimary(PrimaryRecord record, StoreVersion expected);

  /** Reads the records of all groups. */
  Either<RecordFailure, List<RecordedPrimary>> readPrimaries();

  /** Records that this proxy has stopped using a primary. */
  Either<RecordFailure, StoreVersion> writeStop(StopRecord stop);

  /** Reads which proxies have stopped using a group's primary. */
  Either<RecordFailure, List<StopRecord>> readStops(GroupId group);

  /**
   * Writes the lease record of a proxy if its version is still {@code expected}, in the same era. A
   * write that the store performs late can't replace a newer record.
   *
   * @return the new version
   */
  Either<RecordFailure, StoreVersion> renewProxy(ProxyRecord proxy, StoreVersion expected);

  /**
   * Writes the lease records of several proxies if each one's version is still the expected one;
   * writes all or none.
   *
   * @param renewals at least one, for different proxies, with expected versions of one era
   * @return the new version, which is the same for all
   */
  Either<RecordFailure, StoreVersion> renewProxies(List<LeaseRenewal> renewals);

  /**
   * Removes the lease record of a proxy that no longer uses any primary, if its version is still
   * {@code expected}.
   */
  Either<RecordFailure, StoreVersion> removeProxy(VmId proxy, StoreVersion expected);

  /** Reads the lease records of all proxies, with the store's time of the answer. */
  Either<RecordFailure, ProxyList> readProxies();
}
