package org.mimosacleat.serving.promotion;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/** An endpoint in memory between two of its starts, with the commits in its log. */
final class ReplicatedNode {
  /** A commit, and the term in which it was made. */
  record Commit(long term, long number) {}

  final EndpointId id;
  final InetSocketAddress address;
  final long startedAt;
  final List<Commit> log = new ArrayList<>();
  EndpointRole role = EndpointRole.REPLICA;
  long term = 1;
  boolean running = true;

  /** Whether proxies reach it; other endpoints do in any case. */
  boolean reachable = true;

  /** Whether it receives commits. */
  boolean receives = true;

  /** How many commits it receives at once. */
  long commitsAtOnce = Integer.MAX_VALUE;

  boolean draining;
  Instant drainingSince = Instant.MAX;

  ReplicatedNode(String id, String address, long startedAt) {
    this.id = new EndpointId(id);
    this.address = InetSocketAddress.createUnresolved(address, 1);
    this.startedAt = startedAt;
  }

  boolean answers() {
    return running && reachable;
  }

  /** Gives up what the primary does not have, and receives what is missing, or a part of it. */
  void follow(ReplicatedNode primary) {
    role = EndpointRole.REPLICA;
    term = primary.term;
    int common = 0;
    while (common < Math.min(log.size(), primary.log.size())
        && log.get(common).equals(primary.log.get(common))) {
      common++;
    }
    long end = Math.min(primary.log.size(), common + commitsAtOnce);
    log.clear();
    log.addAll(primary.log.subList(0, (int) end));
  }

  /** Returns the end of the log; databases differ in the term that they report with it. */
  Position end(boolean reportsTermOfCommit) {
    long reported = reportsTermOfCommit && !log.isEmpty() ? log.getLast().term() : term;
    return new Position(new Term(reported), new LogPosition(log.size()));
  }

  EndpointEntry entry() {
    return new EndpointEntry(
        id,
        FakeEndpoint.GROUP,
        address,
        new AvailabilityZone("a"),
        3,
        draining,
        role,
        startedAt,
        0);
  }
}
