package org.mimosacleat.standin.endpoint;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * An immutable snapshot of all tables at one log position.
 *
 * @param tables the tables by name
 */
record DatabaseState(Map<String, Table> tables) {
  static final DatabaseState EMPTY = new DatabaseState(HashMap.empty());

  /** Applies the tables that a transaction wrote; an empty optional means a dropped table. */
  DatabaseState withTables(java.util.Map<String, java.util.Optional<Table>> written) {
    Map<String, Table> changed = tables;
    for (var entry : written.entrySet()) {
      changed =
          entry.getValue().isPresent()
              ? changed.put(entry.getKey(), entry.getValue().get())
              : changed.remove(entry.getKey());
    }
    return new DatabaseState(changed);
  }
}
