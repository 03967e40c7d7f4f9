package org.mimosacleat.serving.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.statement.StatementId;

class ChannelStateTest {
  private static final Optional<StatementId> STATEMENT = Optional.of(new StatementId("s1"));

  private final PausedClock clock = new PausedClock();
  private final ChannelState state = new ChannelState(clock);

  private boolean leaveIfIdle() {
    return state.leaveIfIdle(Duration.ZERO, () -> false);
  }

  private void answerOne(boolean inTransaction) {
    assertTrue(state.requestRead(STATEMENT));
    assertTrue(state.beginAnswer());
    assertTrue(state.answered(inTransaction));
  }

  @Test
  void idleConnectionIsChosenOnce() {
    assertTrue(leaveIfIdle());
    assertFalse(leaveIfIdle());
  }

  /** Guards against a request that is dropped because it was read during the check. */
  @Test
  void requestThatWasReadDuringTheCheckIsAnswered() {
    assertTrue(leaveIfIdle());

    answerOne(false);
  }

  @Test
  void connectionThatIsNotIdleForLongEnoughStaysOpen() {
    answerOne(false);
    clock.advance(Duration.ofMillis(19));

    assertFalse(state.leaveIfIdle(Duration.ofMillis(20), () -> false));
    clock.advance(Duration.ofMillis(1));

    assertTrue(state.leaveIfIdle(Duration.ofMillis(20), () -> false));
  }

  @Test
  void connectionWithUnreadInputStaysOpen() {
    assertFalse(state.leaveIfIdle(Duration.ZERO, () -> true));
  }

  @Test
  void openTransactionStaysOpen() {
    answerOne(true);

    assertFalse(leaveIfIdle());
  }

  /**
   * Guards against a drain that closes a transaction which began while it looked at the session.
   */
  @Test
  void transactionThatBeginsDuringTheCheckStaysOpen() {
    boolean ended =
        state.leaveIfIdle(
            Duration.ZERO,
            () -> {
              answerOne(true);
              return false;
            });

    assertFalse(ended);
  }

  /** Guards against two answers to one request, and against none. */
  @Test
  void openRequestIsAnsweredByTheDrainOnly() {
    assertTrue(state.requestRead(STATEMENT));
    assertEquals(STATEMENT, state.openStatement());

    assertEquals(new ChannelState.Ending.RequestOpen(STATEMENT), state.end());
    assertFalse(state.beginAnswer());
    assertEquals(new ChannelState.Ending.Earlier(), state.end());
  }

  @Test
  void answerThatIsBeingSentIsTheLastOne() {
    assertTrue(state.requestRead(STATEMENT));
    assertTrue(state.beginAnswer());

    assertEquals(new ChannelState.Ending.Answering(), state.end());
    assertFalse(state.answered(false));
  }

  @Test
  void idleTransactionEnds() {
    answerOne(true);

    assertEquals(new ChannelState.Ending.Idle(), state.end());
    assertFalse(state.requestRead(STATEMENT));
  }
}
