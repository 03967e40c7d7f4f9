package org.mimosacleat.core.lists;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One accepted version of a list, as it is stored and passed between proxies.
 *
 * @param kind which list
 * @param version its number
 * @param writer the unique id of the write that was accepted
 * @param editor who made the edit
 * @param editedAt when, by the editor's clock; for people to read, never for ordering
 * @param note why, in the editor's words; may be empty
 * @param text the whole list
 */
public record PublishedList(
    ListKind kind,
    ListVersion version,
    String writer,
    String editor,
    Instant editedAt,
    String note,
    String text) {
  /** Checks the parts. */
  public PublishedList {
    Checks.notNull("list kind", kind);
    Checks.notNull("list version", version);
    Checks.name("writer", writer);
    Checks.name("editor", editor);
    Checks.notNull("time of the edit", editedAt);
    Checks.notNull("note", note);
    Checks.notNull("text", text);
  }
}
