package org.mimosacleat.core.spread;

import java.util.Optional;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/**
 * The change of a list from the version before: the text keeps its start and its end, and the part
 * between is replaced. An edit of a few neighbouring lines is as short as these lines.
 *
 * @param header the version that the change leads to, with an empty text
 * @param keptAtStart how many characters are kept at the start
 * @param keptAtEnd how many characters are kept at the end
 * @param inserted what stands between them afterwards
 * @param textHash the hash code of the whole text afterwards
 */
public record ListDelta(
    PublishedList header, int keptAtStart, int keptAtEnd, String inserted, int textHash)
    implements ListUpdate {

  /** Returns the change from {@code before} to {@code after}, which must be the next version. */
  public static ListDelta between(PublishedList before, PublishedList after) {
    if (!after.version().equals(before.version().next())) {
      throw new IllegalArgumentException(
          "version " + after.version() + " does not follow " + before.version());
    }
    String old = before.text();
    String text = after.text();
    int shorter = Math.min(old.length(), text.length());
    int start = 0;
    while (start < shorter && old.charAt(start) == text.charAt(start)) {
      start++;
    }
    int end = 0;
    while (end < shorter - start
        && old.charAt(old.length() - 1 - end) == text.charAt(text.length() - 1 - end)) {
      end++;
    }
    String inserted = text.substring(start, text.length() - end);
    return new ListDelta(withText(after, ""), start, end, inserted, text.hashCode());
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
  public int size() {
    return inserted.length();
  }

  /** Returns the list afterwards; empty if {@code before} is not the text the change is for. */
  public Optional<PublishedList> applyTo(PublishedList before) {
    String old = before.text();
    boolean follows = version().equals(before.version().next());
    if (!follows || keptAtStart + keptAtEnd > old.length()) {
      return Optional.empty();
    }
    String text =
        old.substring(0, keptAtStart) + inserted + old.substring(old.length() - keptAtEnd);
    return text.hashCode() == textHash ? Optional.of(withText(header, text)) : Optional.empty();
  }

  private static PublishedList withText(PublishedList list, String text) {
    return new PublishedList(
        list.kind(),
        list.version(),
        list.writer(),
        list.editor(),
        list.editedAt(),
        list.note(),
        text);
  }
}
