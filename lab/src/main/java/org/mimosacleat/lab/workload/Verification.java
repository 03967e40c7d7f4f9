package org.mimosacleat.lab.workload;

import java.sql.SQLException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** Compares the stored rows with the outcomes recorded by the oracle. */
final class Verification {
  private final StoredRows storedRows;
  private final Map<TableKey, Map<String, Integer>> countsByTable = new HashMap<>();
  private long lostWrites;
  private long repeatedWrites;
  private long ranThoughRefused;
  private long tornTransactions;

  Verification(StoredRows storedRows) {
    this.storedRows = storedRows;
  }

  Violations compare(WorkloadSettings settings, WriteOracle oracle, long staleReads)
      throws SQLException, InterruptedException {
    for (var entry : oracle.outcomes().entrySet()) {
      WriteKey key = entry.getKey();
      Map<String, Integer> counts = countsOfTable(key);
      if (isNonRepeatable(settings, key.table())) {
        checkWrite(entry.getValue(), counts.getOrDefault(key.id(), 0));
      } else {
        checkTransaction(entry.getValue(), key, counts);
      }
    }
    return new Violations(
        lostWrites, repeatedWrites, ranThoughRefused, tornTransactions, staleReads);
  }

  private void checkTransaction(RequestOutcome outcome, WriteKey key, Map<String, Integer> counts) {
    List<Integer> rowCounts =
        SessionWorker.ROW_SUFFIXES.stream()
            .map(suffix -> counts.getOrDefault(key.id() + suffix, 0))
            .distinct()
            .toList();
    if (rowCounts.size() > 1) {
      tornTransactions++;
      Logger.warn(
          "torn transaction {}: its rows are stored {} times, outcome for the client: {}",
          key,
          rowCounts,
          outcome);
    }
    checkWrite(outcome, rowCounts.stream().min(Integer::compare).orElse(0));
  }

  private void checkWrite(RequestOutcome outcome, int count) {
    if (outcome == RequestOutcome.SERVED && count == 0) {
      lostWrites++;
    }
    if (outcome == RequestOutcome.REFUSED && count > 0) {
      ranThoughRefused++;
    }
    if (count > 1) {
      repeatedWrites++;
    }
  }

  private Map<String, Integer> countsOfTable(WriteKey key)
      throws SQLException, InterruptedException {
    TableKey tableKey = new TableKey(key.database(), key.table());
    if (!countsByTable.containsKey(tableKey)) {
      countsByTable.put(tableKey, storedRows.countById(key.database(), key.table()));
    }
    return countsByTable.get(tableKey);
  }

  private static boolean isNonRepeatable(WorkloadSettings settings, String table) {
    return settings.scenario().actions().stream()
        .anyMatch(
            action -> action instanceof Action.NonRepeatableInsert && action.table().equals(table));
  }

  private record TableKey(String database, String table) {}
}
