package org.mimosacleat.serving;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.access.AccessControl;
import org.mimosacleat.serving.access.AccessSettings;
import org.mimosacleat.serving.drain.DrainProgress;
import org.mimosacleat.serving.drain.DrainTimes;
import org.mimosacleat.serving.endpoint.ConnectionShare;
import org.mimosacleat.serving.endpoint.EndpointConnection;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.Configuration;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.fleet.GroupSettings;
import org.mimosacleat.serving.fleet.ReadConsistency;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.fleet.Teams;
import org.mimosacleat.serving.limits.TeamLimits;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.routing.GroupState;
import org.mimosacleat.serving.routing.GroupStates;
import org.mimosacleat.serving.routing.SuspensionDetector;
import org.mimosacleat.serving.routing.TargetChooser;
import org.mimosacleat.serving.session.Session;
import org.mimosacleat.serving.session.Sessions;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ClientStatement;
import org.mimosacleat.serving.statement.StatementBody;
import org.mimosacleat.serving.statement.StatementId;

/** The serving components of a proxy, with one primary and one replica in memory. */
public final class ServingFixture {
  /** Reads see all acknowledged writes. */
  public static final DatabaseName LATEST = new DatabaseName("latest");

  /** Reads may be two seconds old, but not older than the session's writes. */
  public static final DatabaseName OWN = new DatabaseName("own");

  /** Like {@link #LATEST}, and callers need no key. */
  public static final DatabaseName PUBLIC = new DatabaseName("public");

  private static final Duration AGE = Duration.ofSeconds(2);
  private static final int CONNECTIONS = 40;
  private static final Instant START = new PausedClock().instant();

  public final PausedClock clock = new PausedClock();

  /** Runs with the other clock, unless a test advances it. */
  public final PausedClock aheadBy = new PausedClock();

  public final InstantSource wallClock =
      () -> clock.instant().plus(Duration.between(START, aheadBy.instant()));
  public final FakeEndpoint primary = new FakeEndpoint("p", EndpointRole.PRIMARY, 1);
  public final FakeEndpoint replica = new FakeEndpoint("r", EndpointRole.REPLICA, 2);
  public final FleetState fleet = new FleetState();
  public final GroupStates groupStates = new GroupStates(clock);

  /** The teams for which connections were opened, in this order. */
  public final List<Optional<TeamId>> dialedTeams = new ArrayList<>();

  public final FakeDialer dialer = new FakeDialer(primary, replica);
  public final EndpointPools pools =
      new EndpointPools(this::dial, clock, fleet, new ConnectionShare(13), _ -> true);
  public final List<String> suspicions = new ArrayList<>();
  public boolean canUsePrimaries = true;

  /** Runs while a connection to an endpoint is opened. */
  public Runnable whileDialing = () -> {};

  public Duration configurationAge = Duration.ZERO;
  public final TargetChooser chooser =
      new TargetChooser(
          fleet,
          pools,
          groupStates,
          _ -> canUsePrimaries,
          new SuspensionDetector(clock, wallClock),
          new Random(1));

  public TeamLimits limits = TeamLimits.UNLIMITED;
  public final DrainProgress drain =
      new DrainProgress(clock, new DrainTimes(Duration.ofMillis(2_300), Duration.ofSeconds(6)));
  public final Sessions sessions;
  private int statements;

  /** Creates a proxy that knows its configuration, its endpoints and their primary. */
  public ServingFixture() {
    this(Relay.NONE);
  }

  /** Creates a proxy that relays statements to gateways. */
  public ServingFixture(Relay relay) {
    this(relay, AccessSettings.failOpen());
  }

  /** Creates a proxy that relays statements to gateways and admits callers by these settings. */
  public ServingFixture(Relay relay, AccessSettings accessSettings) {
    sessions =
        new Sessions(
            fleet,
            new AccessControl(accessSettings, () -> configurationAge),
            groupStates,
            chooser,
            (_, endpoint, reason) -> suspicions.add(endpoint + ": " + reason),
            relay,
            team -> limits.admit(team),
            drain,
            clock,
            new Random(1),
            clock::advance);
    configure(1, Teams.NOT_CONFIGURED);
    pools.put(primary.entry());
    pools.put(replica.entry());
    groupState().setPrimary(primary.id(), new Term(1));
  }

  /** Applies a configuration with these teams. */
  public void configure(long version, Teams teams) {
    configure(version, teams, 0);
  }

  /** Applies a configuration with these teams and a number of synchronous replicas. */
  public void configure(long version, Teams teams, int synchronousReplicas) {
    fleet.applyIfNewer(
        new Configuration(
            version,
            Map.of(
                LATEST, route(LATEST, new ReadConsistency.Latest(), false),
                OWN, route(OWN, new ReadConsistency.ReadYourWrites(AGE), false),
                PUBLIC, route(PUBLIC, new ReadConsistency.Latest(), true)),
            Map.of(
                FakeEndpoint.GROUP,
                new GroupSettings(FakeEndpoint.GROUP, CONNECTIONS, synchronousReplicas)),
            Duration.ofSeconds(3),
            teams));
  }

  /** Returns what a gateway must know of a statement of a caller without a team. */
  public RelayContext relayContext(DatabaseName database) {
    return new RelayContext(
        fleet.snapshot().configuration().orElseThrow().route(database).orElseThrow(),
        Optional.empty(),
        Optional.empty(),
        1,
        Map.of(),
        Position.NONE,
        Duration.ZERO);
  }

  /** Returns the state of the only group. */
  public GroupState groupState() {
    return groupStates.of(FakeEndpoint.GROUP);
  }

  /** Opens a session. */
  public Session session(DatabaseName database) {
    return sessions.open(database, Optional.empty()).get();
  }

  /** Opens a session with an API key. */
  public Session session(DatabaseName database, ApiKey key) {
    return sessions.open(database, Optional.of(key)).get();
  }

  /** Executes a statement. */
  public Answer execute(Session session, StatementBody body, String text) {
    statements++;
    return session.execute(new ClientStatement(new StatementId("s" + statements), text, body));
  }

  /** Executes a read. */
  public Answer read(Session session) {
    return execute(session, new StatementBody.Read(), "READ a");
  }

  /** Executes a write. */
  public Answer write(Session session) {
    return execute(session, new StatementBody.Write(), "WRITE a 1");
  }

  /** Begins a transaction. */
  public Answer begin(Session session, boolean readOnly) {
    return execute(session, new StatementBody.Begin(readOnly), "BEGIN");
  }

  /** Commits a transaction. */
  public Answer commit(Session session) {
    return execute(session, new StatementBody.Commit(), "COMMIT");
  }

  private Either<Failure, EndpointConnection> dial(EndpointEntry entry, Optional<TeamId> team) {
    dialedTeams.add(team);
    whileDialing.run();
    return dialer.dial(entry, team);
  }

  private static Route route(
      DatabaseName database, ReadConsistency readConsistency, boolean openToAll) {
    return new Route(
        database,
        FakeEndpoint.GROUP,
        readConsistency,
        Duration.ofSeconds(1),
        Duration.ofMillis(200),
        1,
        openToAll);
  }
}
