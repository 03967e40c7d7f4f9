package org.mimosacleat.store.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;

/**
 * The platform's transactional table service. All reads are strongly consistent: they see every
 * write that was answered before the read started. Calls block until their timeout at the latest,
 * so make them on a virtual thread.
 */
public interface TableService {
  /** The maximum number of writes in one transaction. */
  int MAX_TRANSACTION_SIZE = 100;

  /** Reads one row; empty if it does not exist. */
  Either<Failure, Optional<Row>> get(RowKey key, Duration timeout);

  /** Reads all rows of a kind, ordered by name. */
  Either<Failure, List<Row>> list(String kind, Duration timeout);

  /** Writes one row if its condition is met. */
  WriteResult write(RowWrite write, Duration timeout);

  /**
   * Writes all rows if every condition is met, otherwise none.
   *
   * @param writes at most {@value #MAX_TRANSACTION_SIZE} writes to different rows
   */
  WriteResult transact(List<RowWrite> writes, Duration timeout);
}
