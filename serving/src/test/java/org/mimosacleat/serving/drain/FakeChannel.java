package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.serving.statement.StatementId;

/** A client connection that is always busy, until a test says otherwise. */
final class FakeChannel implements ClientChannel {
  private final ClientChannels channels;
  boolean idle;
  boolean answering;
  boolean ended;

  FakeChannel(ClientChannels channels) {
    this.channels = channels;
    channels.add(this);
  }

  @Override
  public boolean closeIfIdle(Duration minimumIdleTime) {
    if (idle) {
      channels.remove(this);
    }
    return idle;
  }

  @Override
  public Optional<StatementId> openStatement() {
    return Optional.of(new StatementId("running"));
  }

  @Override
  public boolean end() {
    ended = true;
    return !answering;
  }
}
