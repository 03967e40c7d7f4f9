package org.mimosacleat.proxy.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseRow;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

/** Stores the lease of each group: one row of kind {@value #KIND} per group. */
public final class LeaseRowStore {
  /** The row kind in the table service. */
  public static final String KIND = "lease";

  private static final String HOLDER = "holder";
  private static final String TOKEN = "token";
  private static final String FIRST_RESERVED = "first_reserved";
  private static final String SUCCESSORS = "successors";
  private static final String ENDPOINTS = "endpoints";
  private static final String SEPARATOR = ",";

  private final TableService table;
  private final Duration timeout;

  /** Creates a store on {@code table}; each table request takes at most {@code timeout}. */
  public LeaseRowStore(TableService table, Duration timeout) {
    this.table = table;
    this.timeout = timeout;
  }

  /** Reads the row of a group; empty if there is none. */
  public Either<Failure, Optional<LeaseRow>> read(GroupId group) {
    return table.get(key(group), timeout).map(row -> row.map(found -> leaseRow(group, found)));
  }

  /**
   * Replaces a row, provided that the stored row has the expected write id, and waits for the
   * answer.
   */
  public WriteResult write(LeaseAction.WriteRow write) {
    Either<Failure, Optional<Row>> current = table.get(key(write.row().group()), timeout);
    if (current.isLeft()) {
      return new WriteResult.NotSent(current.getLeft());
    }
    Optional<String> currentWriteId = current.get().map(row -> row.writer().value());
    if (!currentWriteId.equals(write.expected().map(WriteId::value))) {
      return new WriteResult.ConditionFailed();
    }
    RowCondition condition = current.get().map(Row::unchanged).orElseGet(RowCondition.Absent::new);
    return table.write(
        new RowWrite.Put(
            key(write.row().group()),
            condition,
            new org.mimosacleat.store.pacing.WriteId(write.row().writeId().value()),
            attributes(write.row())),
        timeout);
  }

  private static RowKey key(GroupId group) {
    return new RowKey(KIND, group.value());
  }

  private static Attributes attributes(LeaseRow row) {
    return Attributes.NONE
        .with(HOLDER, row.holder().value())
        .with(TOKEN, row.token().number())
        .with(FIRST_RESERVED, row.firstReserved().number())
        .with(SUCCESSORS, joinInOrder(row.successors()))
        .with(ENDPOINTS, joinSorted(row.endpoints()));
  }

  private static LeaseRow leaseRow(GroupId group, Row row) {
    Attributes attributes = row.attributes();
    return new LeaseRow(
        group,
        new VmId(attributes.text(HOLDER)),
        new FencingToken(attributes.number(TOKEN)),
        new FencingToken(attributes.number(FIRST_RESERVED)),
        split(attributes.text(SUCCESSORS)).map(VmId::new).toList(),
        split(attributes.text(ENDPOINTS)).map(EndpointId::new).collect(Collectors.toSet()),
        new WriteId(row.writer().value()));
  }

  /** Keeps the order, because a successor's position determines the token reserved for it. */
  private static String joinInOrder(List<VmId> names) {
    return names.stream().map(VmId::value).collect(Collectors.joining(SEPARATOR));
  }

  static String joinSorted(Collection<?> names) {
    return names.stream().map(Object::toString).sorted().collect(Collectors.joining(SEPARATOR));
  }

  static Stream<String> split(String names) {
    return Arrays.stream(names.split(SEPARATOR)).filter(name -> !name.isEmpty());
  }
}
