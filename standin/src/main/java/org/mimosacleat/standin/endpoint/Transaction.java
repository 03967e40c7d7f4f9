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
  private final SessionRights rights;
  private final Map<String, Optional<Table>> written = new HashMap<>();
  private final Set<String> locked = new LinkedHashSet<>();

  Transaction(InstanceState state, TableLocks locks, SessionRights rights) {
    this.state = state;
    this.locks = locks;
    this.rights = rights;
  }

  void lock(String table) throws SqlError, InterruptedException {
    if (!locked.contains(table)) {
      locks.acquire(table);
      locked.add(table);
    }
  }

  Optional<Table> find(String table) {
    Optional<Table> own = written.get(table);
    return own != null ? own : state.committed().tables().get(table).toJavaOptional();
  }

  Table get(String table) throws SqlError {
    return find(table)
        .orElseThrow(
            () ->
                new SqlError(
                    SqlError.UNDEFINED_TABLE, "relation \"" + table + "\" does not exist"));
  }

  void put(String name, Table table) {
    written.put(name, Optional.of(table));
  }

  void drop(String name) {
    written.put(name, Optional.empty());
  }

  /** Commits, and tells whether anything was written. */
  boolean commit() throws SqlError {
    try {
      if (written.isEmpty()) {
        return false;
      }
      state.commit(written, rights);
      return true;
    } finally {
      rollback();
    }
  }

  void rollback() {
    written.clear();
    locked.forEach(locks::release);
    locked.clear();
  }
}
