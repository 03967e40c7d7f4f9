package org.mimosacleat.standin.endpoint;

import java.util.Set;

/** The supported column types; every type that is not an integer is treated as text. */
enum ColumnType {
  /** Text of any length. */
  TEXT(25, -1),
  /** A 64-bit integer. */
  INTEGER(20, Long.BYTES);

  private static final Set<String> INTEGER_NAMES =
      Set.of("int", "integer", "bigint", "smallint", "int2", "int4", "int8", "serial", "bigserial");

  private final int oid;
  private final int size;

  ColumnType(int oid, int size) {
    this.oid = oid;
    this.size = size;
  }

  static ColumnType forName(String name) {
    return INTEGER_NAMES.contains(name) ? INTEGER : TEXT;
  }

  int oid() {
    return oid;
  }

  int size() {
    return size;
  }
}
