package org.mimosacleat.serving.renewal;

import io.vavr.control.Either;
import java.time.Instant;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;

/** Passes lease renewals to other proxies. */
@FunctionalInterface
public interface RenewalPeers {
  /**
   * Asks a proxy to write a lease record and waits for the answer.
   *
   * @return the new version of the record; {@link RecordFailure#NOT_DONE} if it was not written,
   *     {@link RecordFailure#UNCERTAIN} if no answer arrived before the deadline
   */
  Either<RecordFailure, StoreVersion> requestRenewal(
      VmId publisher, LeaseRenewal renewal, Instant deadline);
}
