package org.mimosacleat.serving.promotion;

import java.util.List;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * Queries the status of the listed endpoints of one group; those that do not answer are left out.
 */
final class GroupStatusPoller {
  private final GroupId group;
  private final FailoverDependencies dependencies;
  private final EndpointStatusPoller statusPoller;

  GroupStatusPoller(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
    this.statusPoller =
        new EndpointStatusPoller(dependencies.administration(), dependencies.executor());
  }

  /** Returns the endpoints that are listed now. */
  List<EndpointEntry> listed() {
    return dependencies.fleet().snapshot().endpointsOf(group);
  }

  /** Returns the copies of the log that the listed endpoints have. */
  List<LogCopy> listedCopies() {
    return listed().stream().map(LogCopy::of).toList();
  }

  /** Returns those of some endpoints that answer, in the given order. */
  List<Candidate> poll(List<EndpointEntry> entries) {
    return statusPoller.poll(entries);
  }

  /** Returns all endpoints that answer. */
  List<Candidate> pollAll() {
    return statusPoller.poll(listed());
  }

  /** Returns the endpoints other than one that answer. */
  List<Candidate> pollOthers(EndpointId excluded) {
    return statusPoller.poll(
        listed().stream().filter(entry -> !entry.id().equals(excluded)).toList());
  }
}
