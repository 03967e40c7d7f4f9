package org.mimosacleat.core.lists;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One accepted version of a list, as stored and as sent between proxies.
 *
 * @param kind the kind of the list
 * @param version the version number
 * @param writer the unique id of the write that was accepted
 * @param editor the person who made the edit
 * @param editedAt the time of the edit by the editor's clock; informational only, never used for
 *     ordering
 * @param note the reason given by the editor; may be empty
 * @param text the full INI text of the list
 */
public record PublishedList(
    ListKind kind,
    ListVersion version,
    String writer,
    String editor,
    Instant editedAt,
    String note,
    String text) {
  /** Validates the components. */
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
