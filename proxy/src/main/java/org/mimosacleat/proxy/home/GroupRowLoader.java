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
 * Loads the row of a group for a new home. If the group has no row yet, it is derived from the
 * status of the endpoints and created. While the table service is unavailable, the row derived from
 * a majority of the endpoints is used instead; this is safe because endpoints reject every home but
 * the latest.
 */
final class GroupRowLoader {
  private static final int MAX_READ_ATTEMPTS = 2;

  private final GroupId group;
  private final HomeContext context;
  private final GroupResources resources;
  private final GroupRowStore rows;

  GroupRowLoader(GroupId group, HomeContext context, GroupResources resources, GroupRowStore rows) {
    this.group = group;
    this.context = context;
    this.resources = resources;
    this.rows = rows;
  }

  /**
   * Returns the row, or empty if it has to be derived and no majority of the endpoints answers. May
   * block.
   */
  Optional<GroupRow> load() {
    for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      Either<Failure, Optional<GroupRow>> read = rows.read(group);
      if (read.isRight()) {
        return read.get().or(this::create);
      }
    }
    context
        .journal()
        .add(
            group,
            "the group row cannot be read from the table service; deriving it from the endpoints");
    return deriveFromEndpoints(0);
  }

  private Optional<GroupRow> create() {
    Optional<GroupRow> derived = deriveFromEndpoints(1);
    if (derived.isEmpty()) {
      return Optional.empty();
    }
    WriteResult result = rows.create(derived.get());
    if (result.isApplied()) {
      return derived;
    }
    return rows.read(group).getOrElse(Optional.empty());
  }

  private Optional<GroupRow> deriveFromEndpoints(long versionNumber) {
    List<EndpointStatus> answers = pollEndpoints();
    if (answers.size() <= resources.members().size() / 2) {
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
            resources.members(),
            term,
            new RowVersion(versionNumber, context.self(), context.random().nextLong())));
  }

  private List<EndpointStatus> pollEndpoints() {
    Duration timeout = context.monitorSettings().timeout();
    List<EndpointStatus> answers = new ArrayList<>();
    for (EndpointPool pool : resources.pools().values()) {
      try (EndpointPoller poller = new EndpointPoller(pool.address(), context.clock(), timeout)) {
        answers.add(poller.poll());
      } catch (IOException unreachable) {
        // An endpoint that does not answer does not count towards the majority.
        continue;
      }
    }
    return answers;
  }
}
