package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Computes the values of operands for one execution of a statement. */
final class OperandEvaluator {
  private final List<String> parameters;
  private final AdminFunctions functions;

  OperandEvaluator(List<String> parameters, AdminFunctions functions) {
    this.parameters = parameters;
    this.functions = functions;
  }

  /** Returns the value of an operand that does not depend on a row. */
  String evaluate(Operand operand) throws SqlError, InterruptedException {
    return switch (operand) {
      case Operand.Literal literal -> literal.text();
      case Operand.Parameter parameter -> parameter(parameter.number());
      case Operand.FunctionCall call ->
          functions.call(call.function(), evaluateAll(call.arguments()));
      case Operand.ColumnSum sum ->
          throw new SqlError(
              SqlError.UNDEFINED_COLUMN, "column \"" + sum.column() + "\" does not exist");
    };
  }

  /** Returns the value of an operand for a row of {@code table}. */
  String evaluate(Operand operand, Table table, List<String> row)
      throws SqlError, InterruptedException {
    if (!(operand instanceof Operand.ColumnSum sum)) {
      return evaluate(operand);
    }
    String present = row.get(table.columnIndex(sum.column()));
    String addend = evaluate(sum.addend());
    if (present == null || addend == null) {
      return null;
    }
    long change = number(addend);
    return Long.toString(number(present) + (sum.negative() ? -change : change));
  }

  List<String> evaluateAll(List<Operand> operands) throws SqlError, InterruptedException {
    List<String> values = new ArrayList<>(operands.size());
    for (Operand operand : operands) {
      values.add(evaluate(operand));
    }
    return values;
  }

  private String parameter(int number) throws SqlError {
    if (number < 1 || number > parameters.size()) {
      throw new SqlError(SqlError.PROTOCOL_VIOLATION, "there is no parameter $" + number);
    }
    return parameters.get(number - 1);
  }

  private static long number(String text) throws SqlError {
    try {
      return Long.parseLong(text.trim());
    } catch (NumberFormatException notNumber) {
      throw new SqlError(
          SqlError.INVALID_TEXT, "invalid input syntax for type bigint: \"" + text + "\"");
    }
  }
}
