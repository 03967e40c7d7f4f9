package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.StatementBody;

/** An endpoint refuses a session value, and the statement that was sent with it. */
class RefusedValueTest {
  private final ServingFixture proxy = new ServingFixture();
  private final Session session = proxy.session(ServingFixture.LATEST);

  @BeforeEach
  void setValue() {
    proxy.execute(session, new StatementBody.SetValue("a", "b"), "SET a b");
  }

  /** Guards against a statement that runs without the values of its session. */
  @Test
  void statementIsRepeatedWithTheValue() {
    refuseValueAndNextStatement();

    assertTrue(proxy.write(session).isDone());

    assertRunsFollowValue();
  }

  /** Guards against a statement of a transaction that runs without the values of its session. */
  @Test
  void transactionDoesNotContinueWithoutTheValue() {
    proxy.begin(session, false);
    proxy.write(session);
    proxy.execute(session, new StatementBody.SetValue("a", "c"), "SET a c");
    refuseValueAndNextStatement();

    Answer answer = proxy.write(session);

    assertTrue(answer.hasFailed(ErrorKind.TRANSACTION_LOST), answer.toString());
    assertEquals(List.of("in transaction: WRITE a 1"), proxy.primary.ran);
  }

  private void refuseValueAndNextStatement() {
    proxy.primary.refusedValues = 1;
    proxy.primary.refuse(ErrorKind.OVERLOADED);
  }

  private void assertRunsFollowValue() {
    List<EndpointCommand> commands = proxy.primary.commands;
    assertEquals(List.of("WRITE a 1"), proxy.primary.ran);
    assertTrue(
        commands.get(commands.size() - 2) instanceof EndpointCommand.SetValue, commands.toString());
  }
}
