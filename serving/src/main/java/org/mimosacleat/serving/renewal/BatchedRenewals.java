package org.mimosacleat.serving.renewal;

import io.vavr.control.Either;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;

/** Renews the lease of this proxy together with those of other proxies. */
public interface BatchedRenewals {
  /** Returns whether the fleet is large enough for batches. */
  boolean isActive();

  /**
   * Renews a lease as part of a batch; blocks until it is answered or the wait ends. After each
   * failure the caller may write the same record by a call of its own, since all writes are
   * conditional on the version.
   *
   * @return the new version of the record; {@link RecordFailure#UNCERTAIN} without an answer in
   *     time, any other failure if the batch did not write the record
   */
  Either<RecordFailure, StoreVersion> renew(LeaseRenewal renewal);
}
