package org.mimosacleat.serving.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.relay.RelayContext;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.StatementId;

@Timeout(20)
class PeerTransportTest {
  private static final int LARGE = 100_000;
  private static final long TRANSACTION = 7;

  /** Sending tasks that have not run yet. */
  private final Queue<Runnable> tasks = new ArrayDeque<>();

  /** Guards against a rollback that overtakes the first statement, so that a gateway keeps it. */
  @Test
  void framesArriveInTheOrderInWhichTheyWereSent() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PeerTransport sender =
            new PeerTransport(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        PeerTransport receiver = new PeerTransport(listener.accept())) {
      sender.sendHello(new VmId("vm"));
      receiver.receiveHello();

      sender.send(new PeerFrame.Request(1, firstStatement()), tasks::add);
      sender.send(new PeerFrame.Request(2, new RelayRequest.RollBack(TRANSACTION)), tasks::add);
      Thread sending = Thread.ofVirtual().start(() -> tasks.forEach(Runnable::run));

      assertInstanceOf(RelayRequest.RunInTransaction.class, request(receiver));
      assertEquals(new RelayRequest.RollBack(TRANSACTION), request(receiver));
      sending.interrupt();
    }
  }

  /** Guards against a connection that looks alive and on which nothing is sent any longer. */
  @Test
  void connectionIsClosedIfItsSendingTaskEndsUnexpectedly() throws IOException {
    BrokenSocket socket = new BrokenSocket();
    try (PeerTransport sender = new PeerTransport(socket)) {
      sender.send(new PeerFrame.Request(1, firstStatement()), tasks::add);

      assertThrows(OutOfMemoryError.class, tasks.remove()::run);

      assertTrue(socket.isClosed());
    }
  }

  /** A socket on which nothing can be sent because memory is exhausted. */
  private static final class BrokenSocket extends Socket {
    @Override
    public InputStream getInputStream() {
      return InputStream.nullInputStream();
    }

    @Override
    public OutputStream getOutputStream() {
      return new OutputStream() {
        @Override
        public void write(int value) {
          throw new OutOfMemoryError("scripted");
        }
      };
    }
  }

  private static RelayRequest request(PeerTransport receiver) throws IOException {
    return ((PeerFrame.Request) receiver.receive()).request();
  }

  private static RelayRequest firstStatement() {
    RelayContext context = new ServingFixture().relayContext(ServingFixture.LATEST);
    ForwardedStatement write =
        new ForwardedStatement(
            new StatementId("w"), "WRITE a " + "x".repeat(LARGE), true, Optional.empty(), "");
    return new RelayRequest.RunInTransaction(TRANSACTION, true, false, context, write);
  }
}
