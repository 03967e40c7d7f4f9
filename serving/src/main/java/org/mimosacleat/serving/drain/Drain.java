package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.util.concurrent.Executor;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/**
 * Stops a proxy without leaving a request unanswered. It first reports the proxy as not ready and
 * continues to serve until no new clients are expected; then it closes sessions between two
 * requests. New work is refused from half of the grace period on, and what is still open at its end
 * is answered with an error.
 */
public final class Drain {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  /** A client that sends its next request at once has sent it by then. */
  private static final Duration MINIMUM_IDLE_TIME = Duration.ofMillis(20);

  /** The part of the sessions that is closed at each check, and the least number. */
  private static final int CLOSING_DIVISOR = 8;

  private static final int MINIMUM_CLOSED = 4;

  private final DrainProgress progress;
  private final ClientChannels channels;
  private final RelayedWork relayedWork;
  private final Executor executor;
  private final Sleeper sleeper;

  /** Creates a drain that has not started. */
  public Drain(
      DrainProgress progress,
      ClientChannels channels,
      RelayedWork relayedWork,
      Executor executor,
      Sleeper sleeper) {
    this.progress = progress;
    this.channels = channels;
    this.relayedWork = relayedWork;
    this.executor = executor;
    this.sleeper = sleeper;
  }

  /**
   * Drains; when this returns no client connection can be opened, and none is open but those of
   * clients that don't read their last answer.
   *
   * @param stopAccepting stops accepting client connections; those that were accepted before must
   *     be among the channels when it returns
   */
  public void run(Runnable stopAccepting) {
    progress.start();
    relayedWork.refuseNew();
    while (progress.expectsClients()) {
      sleeper.sleep(CHECK_INTERVAL);
    }
    finishWork();
    stopAccepting.run();
    finishWork();
    endOpenWork();
  }

  private boolean hasWork() {
    return channels.count() > 0 || relayedWork.unfinished() > 0;
  }

  private void finishWork() {
    while (hasWork() && progress.allowsWork()) {
      closeIdle();
      sleeper.sleep(CHECK_INTERVAL);
    }
  }

  /**
   * Closes a part of the idle sessions, so that their clients don't all connect elsewhere at once.
   */
  private void closeIdle() {
    int part = Math.ceilDiv(channels.count(), CLOSING_DIVISOR);
    channels.closeIdle(MINIMUM_IDLE_TIME, Math.max(part, MINIMUM_CLOSED));
  }

  private void endOpenWork() {
    Logger.info(
        "drain ended after {} ms: {} client connections open, {} statements running, {} requests of"
            + " other proxies unfinished",
        progress.elapsed().toMillis(),
        channels.count(),
        channels.openStatements().size(),
        relayedWork.unfinished());
    channels.endAll(executor);
    while (channels.count() > 0 && !progress.timeUntilExit().isZero()) {
      sleeper.sleep(CHECK_INTERVAL);
    }
  }
}
