package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies one row.
 *
 * @param kind the kind of the row, for example {@code lease}; the rows of a kind can be listed
 * @param name the name of the row, unique within its kind
 */
public record RowKey(String kind, String name) implements Comparable<RowKey> {
  /** Validates the components. */
  public RowKey {
    Checks.name("row kind", kind);
    Checks.name("row name", name);
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
