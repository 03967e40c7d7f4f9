package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.serving.statement.StatementId;

/** A client connection that a drain can close. */
public interface ClientChannel {
  /**
   * Closes the connection if no request and no transaction is open on it; a request that has just
   * been read is answered before.
   *
   * @param minimumIdleTime how long it must have waited for a request
   * @return whether it closes now
   */
  boolean closeIfIdle(Duration minimumIdleTime);

  /** Returns the statement that has been read and not answered; empty if there is none. */
  Optional<StatementId> openStatement();

  /**
   * Ends the connection: an open request is answered with an error now, even though it may still
   * run, and then the connection is closed.
   *
   * @return false if an answer is just being sent; the connection closes itself after it
   */
  boolean end();
}
