package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.access.AccessSettings;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.Team;
import org.mimosacleat.serving.fleet.Teams;
import org.mimosacleat.serving.relay.FakeGateway;
import org.mimosacleat.serving.relay.FakeRelay;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.statement.Answer;

class SessionAccessTest {
  private static final ApiKey KEY = new ApiKey("crew-key-71");
  private static final TeamId CREW = new TeamId("crew");
  private static final TeamId GUILD = new TeamId("guild");
  private static final List<String> ONE_WRITE = List.of("in transaction: WRITE a 1");
  private static final Duration TOO_OLD = Duration.ofMillis(4_200);

  private final ServingFixture proxy = fixture(Relay.NONE);

  @Test
  void unknownKeyIsRefusedAtStart() {
    proxy.configure(2, teams(GUILD));

    Failure refusal = refusedStart();

    assertEquals(ErrorKind.AUTHENTICATION_FAILED, refusal.kind());
    assertFalse(refusal.toString().contains(KEY.value()));
  }

  @Test
  void startIsRefusedWhileConfigurationIsTooOld() {
    proxy.configure(2, teams(CREW, KEY));
    proxy.configurationAge = TOO_OLD;

    assertEquals(ErrorKind.UNAVAILABLE, refusedStart().kind());
    assertTrue(proxy.write(proxy.session(ServingFixture.PUBLIC)).isDone());
  }

  /** Guards against a revoked key that goes on in a session that is already open. */
  @Test
  void keyOfOpenSessionIsRevokedAndComesBack() {
    proxy.configure(2, teams(CREW, KEY));
    Session session = proxy.session(ServingFixture.LATEST, KEY);
    assertTrue(proxy.write(session).isDone());
    proxy.configure(3, teams(CREW));

    assertTrue(proxy.write(session).hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertTrue(proxy.begin(session, false).hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(TransactionStatus.IDLE, session.status());
    assertEquals(1, proxy.primary.ran.size());

    proxy.configure(4, teams(CREW, KEY));
    assertTrue(proxy.write(session).isDone());
  }

  @Test
  void statementIsRefusedWhileConfigurationIsTooOld() {
    proxy.configure(2, teams(CREW, KEY));
    Session session = proxy.session(ServingFixture.LATEST, KEY);
    proxy.configurationAge = TOO_OLD;

    assertTrue(proxy.write(session).hasFailed(ErrorKind.UNAVAILABLE));
    assertEquals(List.of(), proxy.primary.ran);
  }

  /** Guards against the first statement of a transaction that was begun before the revocation. */
  @Test
  void firstStatementIsRefusedAndItsCommitIsNotAcknowledged() {
    proxy.configure(2, teams(CREW, KEY));
    Session session = proxy.session(ServingFixture.LATEST, KEY);
    proxy.begin(session, false);
    proxy.configure(3, teams(CREW));

    Answer refused = proxy.write(session);
    proxy.configure(4, teams(CREW, KEY));

    assertTrue(refused.hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(TransactionStatus.FAILED, refused.status());
    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(TransactionStatus.IDLE, session.status());
    assertEquals(List.of(), proxy.primary.ran);
  }

  /** Guards against statements that go on in a transaction after their key was taken away. */
  @Test
  void statementOfOpenTransactionIsRefusedAfterRevocation() {
    Session session = openTransaction(proxy);
    proxy.configure(3, teams(CREW));

    Answer refused = proxy.write(session);

    assertTrue(refused.hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(TransactionStatus.FAILED, refused.status());
    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(ONE_WRITE, proxy.primary.ran);
  }

  /** Guards against a transaction that is committed after its key was taken away. */
  @Test
  void commitIsRefusedAfterRevocation() {
    Session session = openTransaction(proxy);
    proxy.configure(3, teams(CREW));

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(TransactionStatus.IDLE, session.status());
    assertEquals(ONE_WRITE, proxy.primary.ran);
  }

  /** Guards against the same while a revocation may not be known yet. */
  @Test
  void commitIsRefusedWhileConfigurationIsTooOld() {
    Session session = openTransaction(proxy);
    proxy.configurationAge = TOO_OLD;

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.UNAVAILABLE));
    assertEquals(ONE_WRITE, proxy.primary.ran);
  }

  /** Guards against a transaction that goes on for a team to which its key no longer belongs. */
  @Test
  void transactionOfAnEarlierTeamIsRolledBack() {
    Session session = openTransaction(proxy);
    proxy.configure(3, teams(GUILD, KEY));

    assertTrue(proxy.commit(session).hasFailed(ErrorKind.TRANSACTION_LOST));
    assertEquals(ONE_WRITE, proxy.primary.ran);
  }

  /** Guards against an outdated proxy that commits at a gateway what is revoked. */
  @Test
  void gatewayWithNewerConfigurationRefusesCommitOfRevokedKey() {
    FakeGateway gateway = new FakeGateway();
    ServingFixture relaying = fixture(new FakeRelay(gateway));
    gateway.proxy.configure(2, teams(CREW, KEY));
    Session session = openTransaction(relaying);
    gateway.proxy.configure(3, teams(CREW));

    assertTrue(relaying.commit(session).hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(ONE_WRITE, gateway.proxy.primary.ran);
  }

  private static Session openTransaction(ServingFixture at) {
    at.configure(2, teams(CREW, KEY));
    Session session = at.session(ServingFixture.LATEST, KEY);
    at.begin(session, false);
    assertTrue(at.write(session).isDone());
    return session;
  }

  /** Guards against a session that keeps a team to which its key no longer belongs. */
  @Test
  void teamFollowsTheConfiguration() {
    FakeGateway gateway = new FakeGateway();
    ServingFixture relaying = fixture(new FakeRelay(gateway));
    relaying.configure(2, teams(CREW, KEY));
    Session session = relaying.session(ServingFixture.LATEST, KEY);
    relaying.write(session);
    relaying.configure(3, teams(GUILD, KEY));
    relaying.write(session);

    List<Optional<TeamId>> teams = new ArrayList<>();
    gateway.requests.forEach(request -> teams.add(context(request).team()));
    assertEquals(List.of(Optional.of(CREW), Optional.of(GUILD)), teams);
    assertEquals(3, context(gateway.requests.getLast()).configurationVersion());
  }

  /** Guards against an outdated proxy that uses a gateway to run what is revoked. */
  @Test
  void gatewayWithNewerConfigurationRefusesRevokedKey() {
    FakeGateway gateway = new FakeGateway();
    ServingFixture relaying = fixture(new FakeRelay(gateway));
    relaying.configure(2, teams(CREW, KEY));
    gateway.proxy.configure(3, teams(CREW));
    Session session = relaying.session(ServingFixture.LATEST, KEY);

    assertTrue(relaying.write(session).hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    relaying.begin(session, false);
    Answer first = relaying.write(session);

    assertTrue(first.hasFailed(ErrorKind.AUTHENTICATION_FAILED));
    assertEquals(TransactionStatus.FAILED, first.status());
    assertFalse(gateway.requests.toString().contains(KEY.value()));
    assertFalse(relaying.commit(session).isDone());
    assertEquals(List.of(), gateway.proxy.primary.ran);
  }

  /** Guards against statements that run for the team of the outdated configuration. */
  @Test
  void gatewayUsesTheTeamOfTheNewerConfiguration() {
    FakeGateway gateway = new FakeGateway();
    ServingFixture relaying = fixture(new FakeRelay(gateway));
    relaying.configure(2, teams(CREW, KEY));
    gateway.proxy.configure(3, teams(GUILD, KEY));

    relaying.write(relaying.session(ServingFixture.LATEST, KEY));

    assertEquals(List.of(Optional.of(GUILD)), gateway.proxy.dialedTeams);
  }

  /** Guards against refusals by a gateway that has not received a new key yet. */
  @Test
  void gatewayWithOlderConfigurationTrustsTheSender() {
    FakeGateway gateway = new FakeGateway();
    ServingFixture relaying = fixture(new FakeRelay(gateway));
    gateway.proxy.configure(2, teams(CREW));
    relaying.configure(3, teams(CREW, KEY));

    assertTrue(relaying.write(relaying.session(ServingFixture.LATEST, KEY)).isDone());

    assertEquals(List.of(Optional.of(CREW)), gateway.proxy.dialedTeams);
  }

  private Failure refusedStart() {
    return proxy.sessions.open(ServingFixture.LATEST, Optional.of(KEY)).getLeft();
  }

  private static RelayContext context(RelayRequest request) {
    return ((RelayRequest.RunStatement) request).context();
  }

  private static ServingFixture fixture(Relay relay) {
    return new ServingFixture(relay, new AccessSettings(true, Duration.ofSeconds(5)));
  }

  private static Teams teams(TeamId team, ApiKey... keys) {
    return Teams.of(List.of(new Team(team, Set.of(keys), OptionalInt.empty(), Optional.empty())));
  }
}
