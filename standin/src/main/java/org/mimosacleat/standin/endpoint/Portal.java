package org.mimosacleat.standin.endpoint;

import java.util.List;
import java.util.Optional;

/** A bound statement; it keeps its result while a row limit splits it. */
final class Portal {
  private final Command command;
  private final List<String> parameters;
  private final List<Integer> formats;
  private Optional<QueryResult> result = Optional.empty();
  private int sentRows;

  Portal(Command command, List<String> parameters, List<Integer> formats) {
    this.command = command;
    this.parameters = parameters;
    this.formats = formats;
  }

  Command command() {
    return command;
  }

  List<String> parameters() {
    return parameters;
  }

  List<Integer> formats() {
    return formats;
  }

  Optional<QueryResult> result() {
    return result;
  }

  void keep(QueryResult newResult) {
    result = Optional.of(newResult);
  }

  /** Returns the next rows, all that are left where the limit is zero. */
  List<List<String>> takeRows(int limit) {
    List<List<String>> rows = result.orElseThrow().rows();
    int end = limit > 0 ? Math.min(rows.size(), sentRows + limit) : rows.size();
    List<List<String>> taken = rows.subList(sentRows, end);
    sentRows = end;
    return taken;
  }

  boolean hasMoreRows() {
    return sentRows < result.orElseThrow().rows().size();
  }
}
