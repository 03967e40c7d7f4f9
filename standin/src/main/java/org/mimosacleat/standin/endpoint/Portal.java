package org.mimosacleat.standin.endpoint;

import java.util.List;
import java.util.Optional;

/** A bound statement; it keeps its result while the client fetches it in several parts. */
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

  void setResult(QueryResult newResult) {
    result = Optional.of(newResult);
  }

  /** Returns the next rows, or all remaining ones if the limit is zero. */
  List<List<String>> nextRows(int limit) {
    List<List<String>> rows = result.orElseThrow().rows();
    int end = limit > 0 ? Math.min(rows.size(), sentRows + limit) : rows.size();
    List<List<String>> next = rows.subList(sentRows, end);
    sentRows = end;
    return next;
  }

  boolean hasMoreRows() {
    return sentRows < result.orElseThrow().rows().size();
  }
}
