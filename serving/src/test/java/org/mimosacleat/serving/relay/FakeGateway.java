package org.mimosacleat.serving.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.session.RelayedStatements;

/** A gateway in memory, whose replies can be lost. */
public final class FakeGateway implements Gateway {
  public final ServingFixture proxy = new ServingFixture();
  public final List<RelayRequest> requests = new ArrayList<>();

  /** Rejects requests without running them. */
  public boolean leaving;

  /** Runs requests, but loses the replies. */
  public boolean losesReplies;

  private RelayedStatements statements = proxy.sessions.openRelayed();

  @Override
  public RelayResult execute(RelayRequest request, Instant deadline) {
    requests.add(request);
    if (leaving) {
      return new RelayResult.NotRun("leaving");
    }
    RelayReply reply = statements.register(request).get();
    return losesReplies ? new RelayResult.Unknown("lost") : new RelayResult.Replied(reply);
  }

  @Override
  public void send(RelayRequest request) {
    requests.add(request);
    statements.register(request).get();
  }

  /** Ends the connection and accepts a new one. */
  public void reconnect() {
    statements.close();
    statements = proxy.sessions.openRelayed();
  }
}
