package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.TeamId;

/** SQL statements that maintain request records, with numbered parameters. */
public enum RequestRecordStatement {
  /** Creates the table; run by a home when the table does not exist. */
  CREATE_TABLE(
      "CREATE TABLE IF NOT EXISTS mimosacleat_request (request_key text PRIMARY KEY,"
          + " work text NOT NULL, answer text, recorded_at bigint NOT NULL)",
      0),
  /**
   * Limits the wait for another transaction with the same id; the first statement of a transaction.
   */
  LIMIT_WAIT("SET LOCAL lock_timeout = '1s'", 0),
  /** Records the id. Parameters: key, work fingerprint, time in seconds since 1970. */
  INSERT(
      "INSERT INTO mimosacleat_request (request_key, work, recorded_at) VALUES ($1, $2, $3)"
          + " ON CONFLICT DO NOTHING",
      3),
  /** Reads the record of an id. Parameter: key. */
  SELECT("SELECT work, answer FROM mimosacleat_request WHERE request_key = $1", 1),
  /** Records the answer; the last statement before the commit. Parameters: key, answer. */
  RECORD_ANSWER("UPDATE mimosacleat_request SET answer = $2 WHERE request_key = $1", 2),
  /** Deletes old records. Parameter: the latest time to delete, in seconds since 1970. */
  EXPIRE("DELETE FROM mimosacleat_request WHERE recorded_at <= $1", 1);

  private final String sql;
  private final int parameters;

  RequestRecordStatement(String sql, int parameters) {
    this.sql = sql;
    this.parameters = parameters;
  }

  /** Returns the SQL text. */
  public String sql() {
    return sql;
  }

  /** Returns the number of parameters. */
  public int parameters() {
    return parameters;
  }

  /** Returns the row key of a request id; request ids of different customers never share a key. */
  public static String key(TeamId customer, RequestId request) {
    return customer.value().length() + ":" + customer + ":" + request;
  }
}
