package org.mimosacleat.proxy.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.RowVersion;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

/** Stores the primary of each group: one row of kind {@value #KIND} per group. */
public final class GroupRowStore {
  /** The row kind in the table service. */
  public static final String KIND = "group";

  private static final String TERM = "term";
  private static final String PRIMARY = "primary";
  private static final String MEMBERS = "members";
  private static final String RESERVED_THROUGH = "reserved_through";
  private static final String SEPARATOR = "#";

  private final TableService table;
  private final Duration timeout;

  /** Creates a store on {@code table}; each table request takes at most {@code timeout}. */
  public GroupRowStore(TableService table, Duration timeout) {
    this.table = table;
    this.timeout = timeout;
  }

  /** Reads the row of a group; empty if there is none. */
  public Either<Failure, Optional<GroupRow>> read(GroupId group) {
    return table.get(key(group), timeout).map(row -> row.map(found -> groupRow(group, found)));
  }

  /** Creates the row of a group, provided that none exists. */
  public WriteResult create(GroupRow row) {
    return put(row, new RowCondition.Absent());
  }

  /** Replaces a row, provided that the stored row has the expected version. */
  public WriteResult write(GroupRow row, RowVersion expected) {
    return put(row, new RowCondition.Unchanged(expected.number(), writeId(expected)));
  }

  private WriteResult put(GroupRow row, RowCondition condition) {
    return table.write(
        new RowWrite.Put(key(row.group()), condition, writeId(row.version()), attributes(row)),
        timeout);
  }

  private static RowKey key(GroupId group) {
    return new RowKey(KIND, group.value());
  }

  private static WriteId writeId(RowVersion version) {
    return new WriteId(version.writer() + SEPARATOR + version.nonce());
  }

  private static RowVersion version(Row row) {
    String text = row.writer().value();
    int separator = text.lastIndexOf(SEPARATOR);
    return new RowVersion(
        row.version(),
        new VmId(text.substring(0, separator)),
        Long.parseLong(text.substring(separator + 1)));
  }

  private static Attributes attributes(GroupRow row) {
    return Attributes.NONE
        .with(TERM, row.term().number())
        .with(PRIMARY, row.primary().map(EndpointId::value).orElse(""))
        .with(MEMBERS, LeaseRowStore.joinSorted(row.members()))
        .with(RESERVED_THROUGH, row.reservedThrough().number());
  }

  private static GroupRow groupRow(GroupId group, Row row) {
    Attributes attributes = row.attributes();
    String primary = attributes.text(PRIMARY);
    return new GroupRow(
        group,
        new Term(attributes.number(TERM)),
        primary.isEmpty() ? Optional.empty() : Optional.of(new EndpointId(primary)),
        LeaseRowStore.split(attributes.text(MEMBERS))
            .map(EndpointId::new)
            .collect(Collectors.toSet()),
        new Term(attributes.number(RESERVED_THROUGH)),
        version(row));
  }
}
