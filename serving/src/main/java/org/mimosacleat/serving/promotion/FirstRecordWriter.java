package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.version.StoreVersion;

/** Writes the first record of a group, before any replacement of its primary. */
final class FirstRecordWriter {
  private static final Duration MAX_DELAY = Duration.ofMillis(1_500);

  private final GroupId group;
  private final FailoverDependencies dependencies;

  FirstRecordWriter(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
  }

  /** Writes the record if this proxy is a gateway and an endpoint reports itself as primary. */
  void writeIfGateway() {
    if (dependencies.isGateway().test(group)) {
      write();
    }
  }

  private void write() {
    Optional<EndpointEntry> reported =
        dependencies.groupStates().of(group).lastPrimary().flatMap(dependencies::findEndpoint);
    if (reported.isEmpty()) {
      return;
    }
    dependencies.sleepRandomly(MAX_DELAY);
    if (dependencies.records().find(group).isPresent()) {
      return;
    }
    Either<Failure, EndpointStatus> status = dependencies.administration().status(reported.get());
    if (status.isLeft() || status.get().role() != EndpointRole.PRIMARY) {
      return;
    }
    Optional<Confirmation> confirmation = dependencies.access().confirmation();
    if (confirmation.isEmpty()) {
      return;
    }
    PrimaryRecord first =
        new PrimaryRecord(
            group,
            Optional.of(reported.get().id()),
            status.get().term(),
            0,
            Optional.empty(),
            confirmation.get());
    dependencies.write(first, StoreVersion.absent(confirmation.get().era()));
  }
}
