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
import org.mimosacleat.proxy.home.RunningBatch;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerChannel;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;

/** Serves one connection from another proxy and runs each batch on its own thread. */
final class PeerSession implements AutoCloseable {
  private final Socket socket;
  private final PeerChannel channel;
  private final Homes homes;
  private final FleetReceiver fleet;
  private final ExecutorService executor;
  private final TransactionOwner owner;
  private final ConcurrentHashMap<Long, RunningBatch> running = new ConcurrentHashMap<>();

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
      running.values().forEach(RunningBatch::cancel);
      homes.rollBackAll(owner);
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
      case PeerMessage.ExecuteBatch execute -> start(execute);
      case PeerMessage.CancelBatch cancel -> cancel(cancel.correlationId());
      case PeerMessage.RollBackTransaction rollBack ->
          homes.rollBack(rollBack.group(), rollBack.transaction(), owner);
      case PeerMessage.FleetPayload payload -> fleet.receive(peer, payload);
      default ->
          throw new PeerProtocolException(
              "peer " + peer + " sent an answer where a request was expected");
    }
  }

  private void start(PeerMessage.ExecuteBatch message) throws PeerProtocolException {
    RunningBatch batch = new RunningBatch(owner);
    if (running.putIfAbsent(message.correlationId(), batch) != null) {
      throw new PeerProtocolException(
          "correlation id " + message.correlationId() + " is already in use");
    }
    executor.submit(() -> answer(message, batch));
  }

  private void cancel(long correlationId) {
    RunningBatch batch = running.get(correlationId);
    if (batch != null) {
      executor.submit(batch::cancel);
    }
  }

  private void answer(PeerMessage.ExecuteBatch message, RunningBatch batch) {
    Either<Failure, BatchAnswer> answer = homes.execute(message.request(), batch);
    running.remove(message.correlationId());
    try {
      channel.write(toMessage(message.correlationId(), answer));
    } catch (IOException lost) {
      close();
    }
  }

  private static PeerMessage toMessage(long correlationId, Either<Failure, BatchAnswer> answer) {
    return answer.fold(
        failure -> new PeerMessage.BatchFailed(correlationId, failure),
        batchAnswer -> new PeerMessage.BatchCompleted(correlationId, batchAnswer));
  }
}
