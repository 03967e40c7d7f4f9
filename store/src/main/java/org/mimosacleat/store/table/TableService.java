package org.mimosacleat.store.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;

/**
 * The platform's transactional table service. All reads are consistent: they see every write that
 * was answered before they started. Calls block, so make them on a virtual thread; each ends by its
 * timeout.
 */
public interface TableService {
  /** The most writes that one transaction may hold. */
  int MAXIMUM_TRANSACTION_SIZE = 100;

  /** Reads one row; empty if there is none. */
  Either<Failure, Optional<Row>> get(RowKey key, Duration timeout);

  /** Reads all rows of a kind in the order of their names. */
  Either<Failure, List<Row>> list(String kind, Duration timeout);

  /** Writes one row if its condition holds. */
  WriteResult write(RowWrite write, Duration timeout);

  /**
   * Writes all rows if every condition holds, else none.
   *
   * @param writes at most {@value #MAXIMUM_TRANSACTION_SIZE} writes to different rows
   */
  WriteResult transact(List<RowWrite> writes, Duration timeout);
}
