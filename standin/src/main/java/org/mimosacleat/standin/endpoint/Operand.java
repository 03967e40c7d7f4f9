package org.mimosacleat.standin.endpoint;

import java.util.List;

/** A value in a statement. */
sealed interface Operand {
  /** A constant; null text is SQL's null. */
  record Literal(String text, ColumnType type) implements Operand {}

  /** A parameter, counted from one. */
  record Parameter(int number) implements Operand {}

  /** The column's own value plus or minus a number. */
  record ColumnSum(String column, Operand addend, boolean negative) implements Operand {}

  /** A call of a function. */
  record FunctionCall(String function, List<Operand> arguments) implements Operand {}
}
