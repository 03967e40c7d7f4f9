package org.mimosacleat.core.gossip;

import java.util.Optional;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/**
 * The difference between a list and its previous version: a common prefix and suffix of the text
 * are kept and the part between them is replaced. The delta of an edit of a few adjacent lines is
 * only about as long as these lines.
 *
 * @param header the new version of the list, with an empty text
 * @param prefixLength the length of the kept prefix in characters
 * @param suffixLength the length of the kept suffix in characters
 * @param inserted the new text between prefix and suffix
 * @param textHash the hash code of the complete new text
 */
public record ListDelta(
    PublishedList header, int prefixLength, int suffixLength, String inserted, int textHash)
    implements ListUpdate {

  /** Returns the delta from {@code before} to {@code after}, which must be the next version. */
  public static ListDelta between(PublishedList before, PublishedList after) {
    if (!after.version().equals(before.version().next())) {
      throw new IllegalArgumentException(
          "cannot create a delta: version "
              + after.version()
              + " does not directly follow version "
              + before.version());
    }
    String oldText = before.text();
    String newText = after.text();
    int shorter = Math.min(oldText.length(), newText.length());
    int start = 0;
    while (start < shorter && oldText.charAt(start) == newText.charAt(start)) {
      start++;
    }
    int end = 0;
    while (end < shorter - start
        && oldText.charAt(oldText.length() - 1 - end)
            == newText.charAt(newText.length() - 1 - end)) {
      end++;
    }
    String inserted = newText.substring(start, newText.length() - end);
    return new ListDelta(withText(after, ""), start, end, inserted, newText.hashCode());
  }

  @Override
  public ListKind kind() {
    return header.kind();
  }

  @Override
  public ListVersion version() {
    return header.version();
  }

  @Override
  public int textLength() {
    return inserted.length();
  }

  /** Returns the new list, or empty if this delta was not created for {@code before}. */
  public Optional<PublishedList> applyTo(PublishedList before) {
    String oldText = before.text();
    boolean isNextVersion = version().equals(before.version().next());
    if (!isNextVersion || prefixLength + suffixLength > oldText.length()) {
      return Optional.empty();
    }
    String newText =
        oldText.substring(0, prefixLength)
            + inserted
            + oldText.substring(oldText.length() - suffixLength);
    return newText.hashCode() == textHash
        ? Optional.of(withText(header, newText))
        : Optional.empty();
  }

  private static PublishedList withText(PublishedList list, String newText) {
    return new PublishedList(
        list.kind(),
        list.version(),
        list.writer(),
        list.editor(),
        list.editedAt(),
        list.note(),
        newText);
  }
}
