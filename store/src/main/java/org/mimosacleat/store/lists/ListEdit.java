package org.mimosacleat.store.lists;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/**
 * One edit of a list as an operator sends it.
 *
 * @param kind which list
 * @param base the version that the edit was made on
 * @param editor who made it
 * @param note why; may be empty
 * @param text the whole list after the edit
 */
public record ListEdit(ListKind kind, ListVersion base, String editor, String note, String text) {
  /** Checks the parts. */
  public ListEdit {
    Checks.notNull("list kind", kind);
    Checks.notNull("base version", base);
    Checks.name("editor", editor);
    Checks.notNull("note", note);
    Checks.notNull("text", text);
  }
}
