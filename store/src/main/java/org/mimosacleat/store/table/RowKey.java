package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;

/**
 * Names one row.
 *
 * @param kind what the row is about, as in {@code lease}; rows of a kind can be listed
 * @param name the row within its kind
 */
public record RowKey(String kind, String name) implements Comparable<RowKey> {
  /** Checks the parts. */
  public RowKey {
    Checks.name("kind of row", kind);
    Checks.name("name of row", name);
  }

  @Override
  public int compareTo(RowKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind + "/" + name;
  }
}
