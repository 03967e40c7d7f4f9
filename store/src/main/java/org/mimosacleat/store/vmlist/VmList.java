package org.mimosacleat.store.vmlist;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.vmlist.VmListing;

/**
 * The platform's VM list: the VMs and endpoints that are live or leaving. The list lags behind: a
 * listed VM may already have stopped, and a running VM may not be listed yet.
 */
public interface VmList {
  /** Reads the current list; blocks for at most {@code timeout}. */
  Either<Failure, VmListing> read(Duration timeout);
}
