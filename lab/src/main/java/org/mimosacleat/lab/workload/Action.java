package org.mimosacleat.lab.workload;

import java.time.Duration;

/** A kind of request that sessions send. */
public sealed interface Action {
  /** Returns the name that reports show. */
  String name();

  /** Returns the table that the request writes or reads. */
  String table();

  /**
   * Inserts one row that must not be inserted twice. The request has a request id and is retried
   * with the same id while its outcome is unknown.
   */
  record NonRepeatableInsert(String name, String table) implements Action {}

  /**
   * Inserts two rows in one transaction, then reads the first row through another proxy in the same
   * session.
   */
  record TransactionalInsert(String name, String table) implements Action {}

  /**
   * Reads data that may be stale up to a limit.
   *
   * @param maxStaleness the maximum staleness of the data
   */
  record BoundedStalenessRead(String name, String table, Duration maxStaleness) implements Action {}
}
