package org.mimosacleat.lab.workload;

import java.sql.SQLException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** Compares what is stored with what the oracle remembers. */
final class Verification {
  private final StoredEntries stored;
  private final Map<StoredTable, Map<String, Integer>> tables = new HashMap<>();
  private long lost;
  private long repeated;
  private long ranThoughRefused;
  private long torn;

  Verification(StoredEntries stored) {
    this.stored = stored;
  }

  Violations compare(WorkloadSettings settings, WriteOracle oracle, long staleReads)
      throws SQLException, InterruptedException {
    for (var entry : oracle.outcomes().entrySet()) {
      EntryKey key = entry.getKey();
      Map<String, Integer> counts = table(key);
      if (isCharge(settings, key.table())) {
        judge(entry.getValue(), counts.getOrDefault(key.id(), 0));
      } else {
        judgeTransaction(entry.getValue(), key, counts);
      }
    }
    return new Violations(lost, repeated, ranThoughRefused, torn, staleReads);
  }

  private void judgeTransaction(RequestOutcome outcome, EntryKey key, Map<String, Integer> counts) {
    List<Integer> parts =
        SessionWorker.ROW_SUFFIXES.stream()
            .map(suffix -> counts.getOrDefault(key.id() + suffix, 0))
            .distinct()
            .toList();
    if (parts.size() > 1) {
      torn++;
      Logger.warn("torn transaction {}: {} copies of its rows, answered {}", key, parts, outcome);
    }
    judge(outcome, parts.stream().min(Integer::compare).orElse(0));
  }

  private void judge(RequestOutcome outcome, int count) {
    if (outcome == RequestOutcome.SERVED && count == 0) {
      lost++;
    }
    if (outcome == RequestOutcome.REFUSED && count > 0) {
      ranThoughRefused++;
    }
    if (count > 1) {
      repeated++;
    }
  }

  private Map<String, Integer> table(EntryKey key) throws SQLException, InterruptedException {
    StoredTable name = new StoredTable(key.database(), key.table());
    if (!tables.containsKey(name)) {
      tables.put(name, stored.counts(key.database(), key.table()));
    }
    return tables.get(name);
  }

  private static boolean isCharge(WorkloadSettings settings, String table) {
    return settings.scenario().actions().stream()
        .anyMatch(action -> action instanceof Action.Charge && action.table().equals(table));
  }

  private record StoredTable(String database, String table) {}
}
