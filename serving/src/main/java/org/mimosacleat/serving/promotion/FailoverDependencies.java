package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.feed.ClockReading;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.fleet.GroupSettings;
import org.mimosacleat.serving.routing.GroupStates;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Dependencies shared by the failover controllers of all groups.
 *
 * @param self this proxy
 * @param fleet the current state of the fleet
 * @param pools the connection pools of the endpoints
 * @param groupStates this proxy's state of each group, which requests are routed by
 * @param sharedRecords the records that all proxies share
 * @param access the groups whose primaries this proxy may use
 * @param isGateway whether this proxy watches a group; the others act only after a while
 * @param peers asks other proxies directly
 * @param records the newest shared records that this proxy has seen
 * @param administration queries and changes the role of endpoints
 * @param promotionClient sends promotion requests
 * @param executor runs background tasks and concurrent status queries
 * @param eras the eras of the store
 * @param clock the clock for all time-outs
 * @param wallClock a clock that continues to run while the machine is suspended
 * @param random randomizes delays so that the proxies don't act simultaneously
 * @param sleeper pauses the calling thread
 */
public record FailoverDependencies(
    VmId self,
    FleetState fleet,
    EndpointPools pools,
    GroupStates groupStates,
    SharedRecords sharedRecords,
    PrimaryAccess access,
    Predicate<GroupId> isGateway,
    PeerStops peers,
    PrimaryRecords records,
    EndpointAdministration administration,
    PromotionClient promotionClient,
    ExecutorService executor,
    StoreEras eras,
    InstantSource clock,
    InstantSource wallClock,
    RandomGenerator random,
    Sleeper sleeper) {
  /** Returns the present moment on both clocks. */
  ClockReading now() {
    return new ClockReading(clock.instant(), wallClock.instant());
  }

  /** Waits for a random time, so that proxies which see the same do not act at once. */
  void sleepRandomly(Duration maxDelay) {
    sleeper.sleep(Duration.ofNanos(random.nextLong(maxDelay.toNanos())));
  }

  /** Returns whether a newer record of the group than this one is known. */
  boolean hasChanged(RecordedPrimary recorded) {
    return records
        .find(recorded.record().group())
        .filter(latest -> latest.version().equals(recorded.version()))
        .isEmpty();
  }

  /**
   * Returns how many endpoints other than the primary must have a commit before it is acknowledged.
   */
  int synchronousReplicas(GroupId group) {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().get(group))
        .map(GroupSettings::synchronousReplicas)
        .orElse(0);
  }

  /** Returns whether commits of a group are acknowledged only once others have them. */
  boolean hasSynchronousReplicas(GroupId group) {
    return synchronousReplicas(group) > 0;
  }

  /** Writes a record over a version of it, and remembers it as the newest one. */
  Either<RecordFailure, RecordedPrimary> write(PrimaryRecord next, StoreVersion version) {
    return sharedRecords
        .writePrimary(next, version)
        .map(written -> new RecordedPrimary(next, written))
        .peek(records::put);
  }

  /** Returns the entry of an endpoint that is listed. */
  Optional<EndpointEntry> findEndpoint(EndpointId id) {
    return Optional.ofNullable(fleet.snapshot().endpoints().get(id));
  }
}
