package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/**
 * One list as a proxy has it in force.
 *
 * @param kind which list
 * @param version the version in force
 * @param editor who made that version
 * @param adoptedAt when the proxy put it in force
 * @param source where the proxy had it from, for example {@code store} or a peer's name
 */
public record ListStatus(
    ListKind kind, ListVersion version, String editor, Instant adoptedAt, String source) {
  /** Checks the parts. */
  public ListStatus {
    Checks.notNull("list kind", kind);
    Checks.notNull("list version", version);
    Checks.notNull("editor", editor);
    Checks.notNull("time of adoption", adoptedAt);
    Checks.notNull("source", source);
  }
}
