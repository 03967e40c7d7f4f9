package org.mimosacleat.standin.endpoint;

import java.util.List;

/** A value expression in a statement. */
sealed interface Operand {
  /** A constant; a null {@code text} stands for SQL NULL. */
  record Literal(String text, ColumnType type) implements Operand {}

  /** A parameter; the first has the number 1. */
  record Parameter(int number) implements Operand {}

  /** The present value of a column plus or minus a number. */
  record ColumnSum(String column, Operand addend, boolean negative) implements Operand {}

  /** A call of a function. */
  record FunctionCall(String function, List<Operand> arguments) implements Operand {}
}
