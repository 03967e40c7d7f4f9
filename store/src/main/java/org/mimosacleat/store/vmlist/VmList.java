package org.mimosacleat.store.vmlist;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.vmlist.VmListing;

/**
 * The platform's list of live and leaving VMs and endpoints. It lags: a VM may be gone while it is
 * still listed, and may run before it is listed.
 */
public interface VmList {
  /** Reads the list as the platform has it now; blocks until {@code timeout} at the most. */
  Either<Failure, VmListing> read(Duration timeout);
}
