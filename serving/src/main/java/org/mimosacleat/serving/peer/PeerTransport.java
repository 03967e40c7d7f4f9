package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.network.Sockets;
import org.mimosacleat.wire.peer.PeerChannel;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;

/** Sends and receives frames on one socket. Any thread may send, but only one may receive. */
final class PeerTransport implements AutoCloseable {
  /**
   * Larger than any statement with its arguments, its prepared shape and its session's values. They
   * have up to 5 Mi characters, each of which takes up to two bytes here.
   */
  private static final int MAX_MESSAGE_BYTES = 12 * 1024 * 1024;

  /** The number of this protocol within the messages between proxies. */
  private static final int RELAY_CHANNEL = 5;

  private static final byte[] NO_NONCE = {};

  private final Socket socket;
  private final PeerChannel channel;
  private final ReentrantLock orderLock = new ReentrantLock();

  /** Messages that a task sends, in this order. */
  private final Queue<PeerMessage> waiting = new ArrayDeque<>();

  private boolean taskSends;

  PeerTransport(Socket socket) throws IOException {
    this.socket = socket;
    this.channel =
        new PeerChannel(socket.getInputStream(), socket.getOutputStream(), MAX_MESSAGE_BYTES);
  }

  /** Sends the VM of this proxy, which must be the first message. */
  void sendHello(VmId self) throws IOException {
    channel.write(new PeerMessage.Hello(self, NO_NONCE));
  }

  /** Receives the VM of the other proxy, and accepts messages of any size afterwards. */
  VmId receiveHello() throws IOException {
    if (channel.read() instanceof PeerMessage.Hello hello) {
      channel.raiseReadLimit();
      return hello.sender();
    }
    throw new PeerProtocolException("expected a hello message");
  }

  /** Sends a frame; blocks while the peer does not read. */
  void send(PeerFrame frame) throws IOException {
    channel.write(message(frame));
  }

  /**
   * Sends a frame without waiting for a peer that does not read: a large frame is sent by a task,
   * which closes the connection if that fails. Frames that are sent in this way arrive in order.
   */
  void send(PeerFrame frame, Executor executor) throws IOException {
    PeerMessage.FleetPayload message = message(frame);
    boolean small = message.payload().length <= Sockets.MAX_DIRECT_WRITE_BYTES;
    if (small && !isLeftToTask(message)) {
      channel.write(message);
    } else if (!small && addWaiting(message)) {
      executor.execute(this::writeWaiting);
    }
  }

  /** Leaves a message to the task that sends the ones before it; returns whether there is one. */
  private boolean isLeftToTask(PeerMessage message) {
    orderLock.lock();
    try {
      return taskSends && waiting.add(message);
    } finally {
      orderLock.unlock();
    }
  }

  /** Adds a message for a task; returns whether the task has to be started. */
  private boolean addWaiting(PeerMessage message) {
    orderLock.lock();
    try {
      waiting.add(message);
      boolean starts = !taskSends;
      taskSends = true;
      return starts;
    } finally {
      orderLock.unlock();
    }
  }

  /** Closes the connection if it ends unexpectedly, since later messages would wait for ever. */
  private void writeWaiting() {
    try {
      Optional<PeerMessage> next = nextWaiting();
      while (next.isPresent()) {
        writeOrClose(next.get());
        next = nextWaiting();
      }
    } catch (RuntimeException | Error unexpected) {
      close();
      throw unexpected;
    }
  }

  private Optional<PeerMessage> nextWaiting() {
    orderLock.lock();
    try {
      PeerMessage next = waiting.poll();
      taskSends = next != null;
      return Optional.ofNullable(next);
    } finally {
      orderLock.unlock();
    }
  }

  private static PeerMessage.FleetPayload message(PeerFrame frame) throws IOException {
    return new PeerMessage.FleetPayload(RELAY_CHANNEL, PeerFrameCodec.encode(frame));
  }

  private void writeOrClose(PeerMessage message) {
    try {
      channel.write(message);
    } catch (IOException broken) {
      close();
    }
  }

  /** Receives the next frame; blocks until it arrives. */
  PeerFrame receive() throws IOException {
    if (channel.read() instanceof PeerMessage.FleetPayload payload
        && payload.channel() == RELAY_CHANNEL) {
      return PeerFrameCodec.decode(payload.payload());
    }
    throw new PeerProtocolException("expected a relay frame");
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException alreadyBroken) {
      // A failure to close needs no handling: the connection is unusable in any case.
    }
  }
}
