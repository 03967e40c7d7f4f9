package org.mimosacleat.lab.workload;

import java.time.Duration;

/** One kind of request that sessions make. */
public sealed interface Action {
  /** Returns the name for reports. */
  String name();

  /** Returns the table that the request writes or reads. */
  String table();

  /**
   * Writes one row that must not be written twice. It carries a request id and is sent again with
   * the same id while its outcome is unknown.
   */
  record NonRepeatableInsert(String name, String table) implements Action {}

  /**
   * Writes two rows in one transaction, then reads the first back through another proxy in the same
   * session.
   */
  record TransactionalInsert(String name, String table) implements Action {}

  /**
   * Reads data that may be out of date.
   *
   * @param maxAge how old the data may be
   */
  record BoundedStalenessRead(String name, String table, Duration maxAge) implements Action {}
}
