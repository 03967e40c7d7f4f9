package org.mimosacleat.core.idempotency;

/** The statements by which request ids are recorded, with numbered parameters. */
public enum RecordStatement {
  /** Makes the table; run by the operator once for each database. */
  CREATE_TABLE(
      "CREATE TABLE IF NOT EXISTS mimosacleat_request (customer text NOT NULL,"
          + " request_id text NOT NULL, work text NOT NULL, answer text,"
          + " recorded_at timestamptz NOT NULL DEFAULT now(),"
          + " PRIMARY KEY (customer, request_id))",
      0),
  /** Bounds the wait for another transaction with the same id; first of each transaction. */
  LIMIT_WAIT("SET LOCAL lock_timeout = '1s'", 0),
  /** Records the id: customer, request id, work. One row says that it is new. */
  INSERT(
      "INSERT INTO mimosacleat_request (customer, request_id, work) VALUES ($1, $2, $3)"
          + " ON CONFLICT DO NOTHING",
      3),
  /** Reads the record of an id that was not new: customer, request id. */
  SELECT("SELECT work, answer FROM mimosacleat_request WHERE customer = $1 AND request_id = $2", 2),
  /** Records the answer, last before the commit: customer, request id, answer. */
  RECORD_ANSWER(
      "UPDATE mimosacleat_request SET answer = $3 WHERE customer = $1 AND request_id = $2", 3),
  /** Drops old records: the age in seconds. */
  EXPIRE("DELETE FROM mimosacleat_request WHERE recorded_at < now() - $1 * interval '1 second'", 1);

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
}
