package org.mimosacleat.standin.endpoint;

import java.util.Set;

/** The two types that columns have. */
enum ColumnType {
  /** Any text. */
  TEXT(25, -1),
  /** A 64-bit integer. */
  INTEGER(20, Long.BYTES);

  private static final Set<String> INTEGER_NAMES =
      Set.of("int", "integer", "bigint", "smallint", "int2", "int4", "int8", "serial", "bigserial");

  private final int objectId;
  private final int size;

  ColumnType(int objectId, int size) {
    this.objectId = objectId;
    this.size = size;
  }

  static ColumnType named(String name) {
    return INTEGER_NAMES.contains(name) ? INTEGER : TEXT;
  }

  int objectId() {
    return objectId;
  }

  int size() {
    return size;
  }
}
