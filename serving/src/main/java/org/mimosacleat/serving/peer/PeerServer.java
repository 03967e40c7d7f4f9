package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.drain.RelayedWork;
import org.mimosacleat.serving.feed.FeedPublisher;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.network.ConnectionListener;
import org.mimosacleat.serving.network.Sockets;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.StopResult;
import org.mimosacleat.serving.renewal.RenewalCollector;
import org.mimosacleat.serving.session.RelayedStatements;
import org.tinylog.Logger;

/** Accepts connections of other proxies and runs the statements that they relay. */
public final class PeerServer implements RelayedWork {
  /** Shorter than the connecting proxy waits for an answer. */
  private static final Duration MAX_WAIT_FOR_MEMBERS = Duration.ofMillis(1_000);

  private final FleetMembers members;
  private final Runnable unknownPeerListener;
  private final Supplier<RelayedStatements> statements;
  private final Function<RecordedPrimary, StopResult> stopListener;
  private final FeedPublisher publisher;
  private final Function<DemandReport, LimitAnswer> limitCoordinator;
  private final ExecutorService executor;
  private final RenewalCollector renewals;
  private final Set<PeerSession> sessions = ConcurrentHashMap.newKeySet();
  private volatile ConnectionListener listener;
  private volatile boolean leaving;

  private PeerServer(
      FleetMembers members,
      Runnable unknownPeerListener,
      Supplier<RelayedStatements> statements,
      Function<RecordedPrimary, StopResult> stopListener,
      FeedPublisher publisher,
      Function<DemandReport, LimitAnswer> limitCoordinator,
      ExecutorService executor,
      RenewalCollector renewals) {
    this.members = members;
    this.unknownPeerListener = unknownPeerListener;
    this.statements = statements;
    this.stopListener = stopListener;
    this.publisher = publisher;
    this.limitCoordinator = limitCoordinator;
    this.executor = executor;
    this.renewals = renewals;
  }

  /**
   * Listens on an address and serves each connection as a separate task of the executor.
   *
   * @param unknownPeerListener called when a VM connects that is not known as a member; it should
   *     read the members again
   * @param statements creates what runs the statements of one connection
   * @param stopListener stops the use of the primary that a claim replaces
   * @param publisher passes changes in the store on
   * @param limitCoordinator answers reports of demand
   * @param renewals writes the lease records of other proxies
   */
  public static PeerServer start(
      InetSocketAddress address,
      FleetMembers members,
      Runnable unknownPeerListener,
      Supplier<RelayedStatements> statements,
      Function<RecordedPrimary, StopResult> stopListener,
      FeedPublisher publisher,
      Function<DemandReport, LimitAnswer> limitCoordinator,
      ExecutorService executor,
      RenewalCollector renewals)
      throws IOException {
    PeerServer server =
        new PeerServer(
            members,
            unknownPeerListener,
            statements,
            stopListener,
            publisher,
            limitCoordinator,
            executor,
            renewals);
    server.listener =
        ConnectionListener.start(
            address, executor, socket -> () -> server.serve(socket), Sleeper.SYSTEM);
    return server;
  }

  @Override
  public void refuseNew() {
    leaving = true;
    listener.close();
    sessions.forEach(PeerSession::leave);
  }

  @Override
  public int unfinished() {
    return sessions.stream().mapToInt(PeerSession::unfinishedWork).sum();
  }

  /**
   * Waits for the list of members at the start. When a whole fleet starts, the others connect
   * before this proxy has read the list; refused, they would be without this gateway for longer.
   */
  private void awaitMembers() throws IOException {
    try {
      members.awaitKnown(MAX_WAIT_FOR_MEMBERS);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("stopped while waiting for the list of proxies");
    }
  }

  private void serve(Socket socket) {
    VmId self = members.self().vm();
    try (PeerTransport transport = new PeerTransport(socket);
        RelayedStatements relayed = statements.get()) {
      awaitMembers();
      if (!members.hasAddress(socket.getInetAddress())) {
        Logger.info("connection from {} refused: not a known proxy", socket.getInetAddress());
        unknownPeerListener.run();
        return;
      }
      Sockets.keepAlive(socket);
      PeerSession session =
          new PeerSession(
              transport, relayed, stopListener, publisher, limitCoordinator, executor, renewals);
      sessions.add(session);
      try {
        if (leaving) {
          session.leave();
        }
        session.run(self);
      } finally {
        sessions.remove(session);
      }
    } catch (IOException ended) {
      Logger.info(
          "connection of the proxy at {} ended: {}", socket.getInetAddress(), ended.getMessage());
    }
  }
}
