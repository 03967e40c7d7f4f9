package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.RowVersion;
import org.mimosacleat.proxy.endpoint.EndpointPool;
import org.mimosacleat.proxy.store.GroupRowStore;
import org.mimosacleat.store.table.WriteResult;

/**
 * Finds the row of a group for a new home. A group that never had one gets it from what its
 * endpoints say; while the table service is down, what a majority of the endpoints says stands in
 * for the row, since they refuse every home but the latest.
 */
final class GroupRowFinder {
  private static final int READ_ATTEMPTS = 2;

  private final GroupId group;
  private final HomeContext context;
  private final GroupParts parts;
  private final GroupRowStore rows;

  GroupRowFinder(GroupId group, HomeContext context, GroupParts parts, GroupRowStore rows) {
    this.group = group;
    this.context = context;
    this.parts = parts;
    this.rows = rows;
  }

  /** Returns the row, or empty if too few endpoints answer to make one up; it may wait. */
  Optional<GroupRow> find() {
    for (int attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
      Either<Failure, Optional<GroupRow>> read = rows.read(group);
      if (read.isRight()) {
        return read.get().or(this::create);
      }
    }
    context.journal().add(group, "the row cannot be read; the endpoints stand in for it");
    return fromEndpoints(0);
  }

  private Optional<GroupRow> create() {
    Optional<GroupRow> made = fromEndpoints(1);
    if (made.isEmpty()) {
      return Optional.empty();
    }
    WriteResult result = rows.create(made.get());
    if (result.isApplied()) {
      return made;
    }
    return rows.read(group).getOrElse(Optional.empty());
  }

  private Optional<GroupRow> fromEndpoints(long versionNumber) {
    List<EndpointStatus> answers = answers();
    if (answers.size() <= parts.members().size() / 2) {
      return Optional.empty();
    }
    Optional<EndpointStatus> primary =
        answers.stream()
            .filter(EndpointStatus::isPrimary)
            .max(Comparator.comparing(status -> status.answer().received()));
    Term term =
        answers.stream()
            .map(status -> status.answer().received().term())
            .max(Comparator.naturalOrder())
            .orElseThrow();
    return Optional.of(
        new GroupRow(
            group,
            term,
            primary
                .filter(status -> status.answer().received().term().equals(term))
                .map(status -> status.answer().endpoint()),
            parts.members(),
            term,
            new RowVersion(versionNumber, context.self(), context.random().nextLong())));
  }

  private List<EndpointStatus> answers() {
    Duration timeout = context.monitor().timeout();
    List<EndpointStatus> answers = new ArrayList<>();
    for (EndpointPool pool : parts.pools().values()) {
      try (EndpointPoller poller = new EndpointPoller(pool.address(), context.clock(), timeout)) {
        answers.add(poller.poll());
      } catch (IOException unreachable) {
        // An endpoint that does not answer does not count.
        continue;
      }
    }
    return answers;
  }
}
