package org.mimosacleat.core.statement;

import java.util.List;
import java.util.Set;

/**
 * Classifies SQL text by its keywords, without parsing it. If the keywords are ambiguous, the
 * result is the kind that routes the text to the primary. A write that looks like a read is
 * rejected by the replica and then sent to the primary.
 *
 * <pre>{@code
 * StatementKind kind = StatementClassifier.classify("SELECT 1");
 * }</pre>
 */
public final class StatementClassifier {
  private static final Set<String> WRITE_KEYWORDS =
      Set.of("INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL");
  private static final Set<String> SESSION_LOCK_FUNCTIONS =
      Set.of(
          "PG_ADVISORY_LOCK",
          "PG_ADVISORY_LOCK_SHARED",
          "PG_TRY_ADVISORY_LOCK",
          "PG_TRY_ADVISORY_LOCK_SHARED",
          "PG_ADVISORY_UNLOCK",
          "PG_ADVISORY_UNLOCK_ALL",
          "PG_ADVISORY_UNLOCK_SHARED");
  private static final Set<String> TEMPORARY_KEYWORDS = Set.of("TEMP", "TEMPORARY");

  private StatementClassifier() {}

  /** Returns the combined kind of all statements in {@code text}. */
  public static StatementKind classify(String text) {
    return combine(
        SqlTokenizer.split(text).stream().map(StatementClassifier::kindOfStatement).toList());
  }

  /** Returns the combined kind of statements that are sent as one batch. */
  public static StatementKind combine(List<StatementKind> kinds) {
    if (kinds.isEmpty()) {
      return StatementKind.EMPTY;
    }
    if (kinds.contains(StatementKind.SESSION_BOUND)) {
      return StatementKind.SESSION_BOUND;
    }
    if (kinds.contains(StatementKind.BEGIN_READ_ONLY)) {
      return kinds.stream().anyMatch(StatementKind::canWrite)
          ? StatementKind.BEGIN
          : StatementKind.BEGIN_READ_ONLY;
    }
    for (StatementKind kind : StatementPrecedence.HIGHEST_FIRST) {
      if (kinds.contains(kind)) {
        return kind;
      }
    }
    return StatementKind.EMPTY;
  }

  private static StatementKind kindOfStatement(List<String> words) {
    return switch (words.getFirst()) {
      case "SELECT", "VALUES", "TABLE", "WITH" -> kindOfQuery(words);
      case "SHOW", "FETCH", "MOVE" -> StatementKind.READ;
      case "EXPLAIN" -> words.contains("ANALYZE") ? StatementKind.WRITE : StatementKind.READ;
      case "BEGIN", "START" -> kindOfBegin(words);
      case "COMMIT", "END" -> StatementKind.COMMIT;
      case "ROLLBACK", "ABORT" ->
          words.contains("TO") ? StatementKind.WRITE : StatementKind.ROLLBACK;
      case "SET" -> kindOfSet(words);
      case "RESET" -> StatementKind.SET;
      case "LISTEN", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD", "LOAD" ->
          StatementKind.SESSION_BOUND;
      case "DECLARE" -> words.contains("HOLD") ? StatementKind.SESSION_BOUND : StatementKind.READ;
      case "CREATE" ->
          words.size() > 1 && TEMPORARY_KEYWORDS.contains(words.get(1))
              ? StatementKind.SESSION_BOUND
              : StatementKind.WRITE;
      default -> StatementKind.WRITE;
    };
  }

  private static StatementKind kindOfQuery(List<String> words) {
    if (words.stream().anyMatch(SESSION_LOCK_FUNCTIONS::contains)) {
      return StatementKind.SESSION_BOUND;
    }
    return words.stream().anyMatch(WRITE_KEYWORDS::contains)
        ? StatementKind.WRITE
        : StatementKind.READ;
  }

  private static StatementKind kindOfBegin(List<String> words) {
    boolean readOnly = words.contains("READ") && words.contains("ONLY");
    return readOnly ? StatementKind.BEGIN_READ_ONLY : StatementKind.BEGIN;
  }

  private static StatementKind kindOfSet(List<String> words) {
    boolean transactionScoped =
        words.size() > 1 && Set.of("LOCAL", "TRANSACTION", "CONSTRAINTS").contains(words.get(1));
    return transactionScoped ? StatementKind.READ : StatementKind.SET;
  }
}
