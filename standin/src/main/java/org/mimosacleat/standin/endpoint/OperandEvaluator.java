package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Evaluates the operands of a statement for one execution. */
final class OperandEvaluator {
  private final List<String> parameters;
  private final SqlFunctions functions;

  OperandEvaluator(List<String> parameters, SqlFunctions functions) {
    this.parameters = parameters;
    this.functions = functions;
  }

  /** Returns the value of an operand that does not depend on a row. */
  String evaluate(Operand operand) throws SqlStateException, InterruptedException {
    return switch (operand) {
      case Operand.Literal literal -> literal.text();
      case Operand.Parameter parameter -> parameter(parameter.number());
      case Operand.FunctionCall call ->
          functions.call(call.function(), evaluateAll(call.arguments()));
      case Operand.ColumnSum sum ->
          throw new SqlStateException(
              SqlStateException.UNDEFINED_COLUMN, "column \"" + sum.column() + "\" does not exist");
    };
  }

  /** Returns the value of an operand for a row of {@code table}. */
  String evaluate(Operand operand, Table table, List<String> row)
      throws SqlStateException, InterruptedException {
    if (!(operand instanceof Operand.ColumnSum sum)) {
      return evaluate(operand);
    }
    String currentValue = row.get(table.columnIndex(sum.column()));
    String addend = evaluate(sum.addend());
    if (currentValue == null || addend == null) {
      return null;
    }
    long change = parseInteger(addend);
    return Long.toString(parseInteger(currentValue) + (sum.negative() ? -change : change));
  }

  List<String> evaluateAll(List<Operand> operands) throws SqlStateException, InterruptedException {
    List<String> values = new ArrayList<>(operands.size());
    for (Operand operand : operands) {
      values.add(evaluate(operand));
    }
    return values;
  }

  private String parameter(int number) throws SqlStateException {
    if (number < 1 || number > parameters.size()) {
      throw new SqlStateException(
          SqlStateException.PROTOCOL_VIOLATION, "there is no parameter $" + number);
    }
    return parameters.get(number - 1);
  }

  private static long parseInteger(String text) throws SqlStateException {
    try {
      return Long.parseLong(text.trim());
    } catch (NumberFormatException notNumber) {
      throw new SqlStateException(
          SqlStateException.INVALID_TEXT_REPRESENTATION,
          "invalid input syntax for type bigint: \"" + text + "\"");
    }
  }
}
