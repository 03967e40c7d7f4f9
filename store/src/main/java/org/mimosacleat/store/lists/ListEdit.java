package org.mimosacleat.store.lists;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/**
 * An edit of a list, as submitted by an operator.
 *
 * @param kind the kind of the list
 * @param base the version that the edit is based on
 * @param editor the person who made the edit
 * @param note the reason given by the editor; may be empty
 * @param text the full text of the list after the edit
 */
public record ListEdit(ListKind kind, ListVersion base, String editor, String note, String text) {
  /** Validates the components. */
  public ListEdit {
    Checks.notNull("list kind", kind);
    Checks.notNull("base version", base);
    Checks.name("editor", editor);
    Checks.notNull("note", note);
    Checks.notNull("text", text);
  }
}
