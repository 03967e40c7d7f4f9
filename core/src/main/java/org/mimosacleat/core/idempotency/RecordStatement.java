package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;

/** The statements by which request ids are recorded, with numbered parameters. */
public enum RecordStatement {
  /** Makes the table; a home runs it where the table is missing. */
  CREATE_TABLE(
      "CREATE TABLE IF NOT EXISTS mimosacleat_request (request_key text PRIMARY KEY,"
          + " work text NOT NULL, answer text, recorded_at bigint NOT NULL)",
      0),
  /** Bounds the wait for another transaction with the same id; first of each transaction. */
  LIMIT_WAIT("SET LOCAL lock_timeout = '1s'", 0),
  /** Records the id: key, work, the time in seconds since 1970. */
  INSERT(
      "INSERT INTO mimosacleat_request (request_key, work, recorded_at) VALUES ($1, $2, $3)"
          + " ON CONFLICT DO NOTHING",
      3),
  /** Reads the record of an id: key. */
  SELECT("SELECT work, answer FROM mimosacleat_request WHERE request_key = $1", 1),
  /** Records the answer, last before the commit: key, answer. */
  RECORD_ANSWER("UPDATE mimosacleat_request SET answer = $2 WHERE request_key = $1", 2),
  /** Drops old records: the latest time that is dropped, in seconds since 1970. */
  EXPIRE("DELETE FROM mimosacleat_request WHERE recorded_at <= $1", 1);

  private final String sql;
  private final int parameters;

  RecordStatement(String sql, int parameters) {
    this.sql = sql;
    this.parameters = parameters;
  }

  /** Returns the statement. */
  public String sql() {
    return sql;
  }

  /** Returns the number of parameters. */
  public int parameters() {
    return parameters;
  }

  /** Returns the key of a request id; ids of different customers never have the same. */
  public static String key(CustomerId customer, RequestId request) {
    return customer.value().length() + ":" + customer + ":" + request;
  }
}
