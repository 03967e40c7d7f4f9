package org.mimosacleat.serving.limits;

import io.vavr.control.Either;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * The row of the store that names the limit coordinator. Calls block until answered;
 * implementations are thread-safe.
 */
public interface CoordinatorRecords {
  /** Reads the row. */
  Either<RecordFailure, RecordedCoordinator> read();

  /**
   * Replaces the row if its version is still {@code expected}, in the same era.
   *
   * @return the new version
   */
  Either<RecordFailure, StoreVersion> claim(CoordinatorRow row, StoreVersion expected);
}
