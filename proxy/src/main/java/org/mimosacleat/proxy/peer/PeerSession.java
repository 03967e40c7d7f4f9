package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerChannel;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.mimosacleat.wire.peer.WorkAnswer;

/** Serves one connection from another proxy and runs each batch on its own thread. */
final class PeerSession implements AutoCloseable {
  private final Socket socket;
  private final PeerChannel channel;
  private final Homes homes;
  private final FleetReceiver fleet;
  private final ExecutorService executor;
  private final TransactionOwner owner;
  private final ConcurrentHashMap<Long, WorkTicket> running = new ConcurrentHashMap<>();

  PeerSession(
      Socket socket,
      int maximumMessageBytes,
      Homes homes,
      FleetReceiver fleet,
      ExecutorService executor)
      throws IOException {
    this.socket = socket;
    this.channel =
        new PeerChannel(socket.getInputStream(), socket.getOutputStream(), maximumMessageBytes);
    this.homes = homes;
    this.fleet = fleet;
    this.executor = executor;
    this.owner = new TransactionOwner("peer at " + socket.getRemoteSocketAddress());
  }

  /** Serves until the connection ends, then rolls back its open transactions. */
  void run(PeerAuthenticator authenticator, Duration handshakeTimeout) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(Math.toIntExact(handshakeTimeout.toMillis()));
    VmId peer = authenticator.authenticate(channel);
    socket.setSoTimeout(0);
    try {
      while (!socket.isClosed()) {
        handle(peer, channel.read());
      }
    } finally {
      running.values().forEach(WorkTicket::cancel);
      homes.abandonAll(owner);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException alreadyBroken) {
      return;
    }
  }

  private void handle(VmId peer, PeerMessage message) throws PeerProtocolException {
    switch (message) {
      case PeerMessage.Work work -> start(work);
      case PeerMessage.Cancel cancel -> cancel(cancel.correlation());
      case PeerMessage.Abandon abandon ->
          homes.abandon(abandon.group(), abandon.transaction(), owner);
      case PeerMessage.Fleet fleetMessage -> fleet.received(peer, fleetMessage);
      default ->
          throw new PeerProtocolException(
              "peer " + peer + " sent an answer where a request was expected");
    }
  }

  private void start(PeerMessage.Work work) throws PeerProtocolException {
    WorkTicket ticket = new WorkTicket(owner);
    if (running.putIfAbsent(work.correlation(), ticket) != null) {
      throw new PeerProtocolException(
          "correlation id " + work.correlation() + " is already in use");
    }
    executor.submit(() -> answer(work, ticket));
  }

  private void cancel(long correlation) {
    WorkTicket ticket = running.get(correlation);
    if (ticket != null) {
      executor.submit(ticket::cancel);
    }
  }

  private void answer(PeerMessage.Work work, WorkTicket ticket) {
    Either<Failure, WorkAnswer> answer = homes.execute(work.request(), ticket);
    running.remove(work.correlation());
    try {
      channel.write(message(work.correlation(), answer));
    } catch (IOException lost) {
      close();
    }
  }

  private static PeerMessage message(long correlation, Either<Failure, WorkAnswer> answer) {
    return answer.fold(
        failure -> new PeerMessage.Failed(correlation, failure),
        workAnswer -> new PeerMessage.Answered(correlation, workAnswer));
  }
}
