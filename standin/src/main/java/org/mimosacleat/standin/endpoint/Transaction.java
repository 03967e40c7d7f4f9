package org.mimosacleat.standin.endpoint;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The private write set of one transaction and the table locks that it holds. */
final class Transaction {
  private final InstanceState state;
  private final TableLocks locks;
  private final FencingTokens fencingTokens;
  private final Map<String, Optional<Table>> writes = new HashMap<>();
  private final Set<String> lockedTables = new LinkedHashSet<>();

  Transaction(InstanceState state, TableLocks locks, FencingTokens fencingTokens) {
    this.state = state;
    this.locks = locks;
    this.fencingTokens = fencingTokens;
  }

  void lock(String table) throws SqlStateException, InterruptedException {
    if (!lockedTables.contains(table)) {
      locks.acquire(table);
      lockedTables.add(table);
    }
  }

  Optional<Table> find(String table) {
    Optional<Table> ownWrite = writes.get(table);
    return ownWrite != null ? ownWrite : state.committed().tables().get(table).toJavaOptional();
  }

  Table get(String table) throws SqlStateException {
    return find(table)
        .orElseThrow(
            () ->
                new SqlStateException(
                    SqlStateException.UNDEFINED_TABLE,
                    "relation \"" + table + "\" does not exist"));
  }

  void put(String name, Table table) {
    writes.put(name, Optional.of(table));
  }

  void drop(String name) {
    writes.put(name, Optional.empty());
  }

  /** Commits, and returns whether the transaction wrote anything. */
  boolean commit() throws SqlStateException {
    try {
      if (writes.isEmpty()) {
        return false;
      }
      state.commit(writes, fencingTokens);
      return true;
    } finally {
      rollback();
    }
  }

  void rollback() {
    writes.clear();
    lockedTables.forEach(locks::release);
    lockedTables.clear();
  }
}
