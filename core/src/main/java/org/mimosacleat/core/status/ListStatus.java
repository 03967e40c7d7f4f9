package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/**
 * The version of a list that a proxy uses.
 *
 * @param kind which list
 * @param version the version in use
 * @param editor who created this version
 * @param adoptedAt when the proxy started to use this version
 * @param source where the proxy received it from, for example {@code store} or the name of a peer
 */
public record ListStatus(
    ListKind kind, ListVersion version, String editor, Instant adoptedAt, String source) {
  /** Validates the components. */
  public ListStatus {
    Checks.notNull("list kind", kind);
    Checks.notNull("list version", version);
    Checks.notNull("editor", editor);
    Checks.notNull("adoption time", adoptedAt);
    Checks.notNull("source", source);
  }
}
