package org.mimosacleat.lab.bench;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;

/** A connection that repeatedly reads the same row with a prepared statement. */
final class BenchClient implements AutoCloseable {
  static final String TABLE = "mimosacleat_bench";
  static final long ROW_ID = 1;

  private final Connection connection;
  private final PreparedStatement select;

  BenchClient(BenchTarget target) throws SQLException {
    this.connection = target.connect();
    this.select = connection.prepareStatement("SELECT value FROM " + TABLE + " WHERE id = ?");
  }

  void readRow() throws SQLException {
    select.setLong(1, ROW_ID);
    try (ResultSet resultSet = select.executeQuery()) {
      if (!resultSet.next()) {
        throw new SQLException(
            "row " + ROW_ID + " of " + TABLE + " not found; the benchmark cannot read it");
      }
      resultSet.getString(1);
    }
  }

  @Override
  public void close() throws SQLException {
    connection.close();
  }
}
