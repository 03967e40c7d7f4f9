package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** Serves one client connection. */
final class ClientConnection implements AutoCloseable {
  private static final byte ENCRYPTION_REFUSED = 'N';
  private static final int MAXIMUM_ENCRYPTION_REQUESTS = 2;

  private final Socket socket;
  private final ClientContext context;
  private final FrameReader reader;
  private final FrameWriter writer;
  private final AtomicReference<Activity> activity = new AtomicReference<>(Activity.STARTING);

  ClientConnection(Socket socket, ClientContext context) throws IOException {
    this.socket = socket;
    this.context = context;
    this.reader = new FrameReader(socket.getInputStream(), context.limits().maxFrameBytes());
    this.writer = new FrameWriter(socket.getOutputStream());
  }

  /** Serves until the client disconnects or violates the protocol, or the proxy stops. */
  void run() throws IOException {
    socket.setTcpNoDelay(true);
    socket.setKeepAlive(true);
    socket.setSoTimeout(Math.toIntExact(context.limits().authenticationTimeout().toMillis()));
    try {
      handleStartup();
    } catch (FrameException malformed) {
      writer.write(Frames.fatal(new Failure(ErrorKind.PROTOCOL_VIOLATION, malformed.getMessage())));
      throw malformed;
    }
  }

  /**
   * Requests the end of the connection. A connection that is waiting for its client is sent a
   * shutdown error and closed immediately; one that logs in gets that error in place of the
   * session; one with a running batch or an open transaction ends after it.
   */
  void stop() {
    Activity before =
        activity.getAndUpdate(now -> now == Activity.WORKING ? Activity.STOPPING : Activity.ENDED);
    if (before == Activity.WAITING) {
      sendShutdownError();
      close();
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

  private void handleStartup() throws IOException {
    for (int request = 0; request <= MAXIMUM_ENCRYPTION_REQUESTS; request++) {
      switch (reader.readStartup()) {
        case StartupPacket.TlsRequest tls -> socket.getOutputStream().write(ENCRYPTION_REFUSED);
        case StartupPacket.GssapiRequest gssapi ->
            socket.getOutputStream().write(ENCRYPTION_REFUSED);
        case StartupPacket.CancelRequest cancel -> {
          context.cancels().cancel(new CancelKey(cancel.processId(), cancel.secretKey()));
          return;
        }
        case StartupPacket.Startup startup -> {
          logIn(startup.parameters());
          return;
        }
      }
    }
    throw new FrameException(
        "startup packet: more than " + MAXIMUM_ENCRYPTION_REQUESTS + " encryption requests");
  }

  private void logIn(Map<String, String> parameters) throws IOException {
    String user = parameters.getOrDefault("user", "");
    if (user.isBlank()) {
      refuse(new Failure(ErrorKind.AUTHENTICATION_FAILED, "the startup packet has no user name"));
      return;
    }
    Either<Failure, TeamId> customer = context.authenticator().authenticate(user, reader, writer);
    Either<Failure, ClientSession> session =
        customer.flatMap(customerId -> createSession(customerId, parameters));
    if (session.isLeft()) {
      refuse(session.getLeft());
      return;
    }
    if (activity.get() == Activity.ENDED) {
      sendShutdownError();
      return;
    }
    socket.setSoTimeout(0);
    serve(session.get());
  }

  private Either<Failure, ClientSession> createSession(
      TeamId customer, Map<String, String> parameters) {
    String database = parameters.getOrDefault("database", customer.value());
    GroupId group = new GroupId(database);
    if (!context.groups().contains(group)) {
      return Either.left(
          new Failure(ErrorKind.UNKNOWN_GROUP, "database group '" + database + "' is not known"));
    }
    SessionHints hints = SessionHints.forSession(new SessionId(UUID.randomUUID().toString()));
    ClientSession session =
        new ClientSession(
            customer,
            group,
            new TransactionOwner("client at " + socket.getRemoteSocketAddress()),
            hints);
    Either<Failure, SessionHints> result = Either.right(hints);
    for (Map.Entry<String, String> setting : StartupOptions.settings(parameters).entrySet()) {
      if (setting.getKey().startsWith(SessionHints.PREFIX)) {
        String name = setting.getKey().substring(SessionHints.PREFIX.length());
        result = result.flatMap(current -> current.with(name, setting.getValue()));
      } else {
        session.settings().recordStartupOption(setting.getKey(), setting.getValue());
      }
    }
    return result.map(
        current -> {
          session.setHints(current);
          return session;
        });
  }

  private void serve(ClientSession session) throws IOException {
    BatchHandler handler =
        new BatchHandler(
            session,
            context.dispatcher(),
            context.limits().requestTimeout(),
            context.metrics(),
            context.clock());
    CancelKey key = context.cancels().register(handler::cancel);
    try {
      writer.write(startupReply(key));
      serveBatches(handler, session);
    } finally {
      context.cancels().unregister(key);
      handler.rollBack();
    }
  }

  private List<Frame> startupReply(CancelKey key) {
    List<Frame> frames = new ArrayList<>();
    frames.add(Frames.authenticationOk());
    ServerParameters.ALL.forEach(
        parameter -> frames.add(Frames.parameterStatus(parameter.name(), parameter.value())));
    frames.add(Frames.backendKeyData(key.processId(), key.secretKey()));
    frames.add(Frames.readyForQuery(TransactionStatus.IDLE));
    return frames;
  }

  private void serveBatches(BatchHandler handler, ClientSession session) throws IOException {
    BatchReader batches = new BatchReader(reader, context.limits().maxFrameBytes());
    if (!activity.compareAndSet(Activity.STARTING, Activity.WAITING)) {
      sendShutdownError();
      return;
    }
    while (true) {
      Optional<Frame> first = batches.readFirst();
      boolean canServe =
          activity.compareAndSet(Activity.WAITING, Activity.WORKING) || isInTransaction(session);
      if (first.isEmpty() || !canServe) {
        return;
      }
      writer.writeEncoded(handler.answer(batches.readRest(first.get())));
      if (isInTransaction(session)) {
        continue;
      }
      if (!activity.compareAndSet(Activity.WORKING, Activity.WAITING)) {
        sendShutdownError();
        return;
      }
    }
  }

  /** An open transaction may continue while the proxy stops. */
  private static boolean isInTransaction(ClientSession session) {
    return session.status() != TransactionStatus.IDLE;
  }

  private void sendShutdownError() {
    try {
      writer.write(
          Frames.fatal(new Failure(ErrorKind.SHUTTING_DOWN, "this proxy is shutting down")));
    } catch (IOException alreadyGone) {
      return;
    }
  }

  private void refuse(Failure failure) throws IOException {
    writer.write(Frames.fatal(failure));
  }

  /** The state of the connection that decides how {@link #stop} ends it. */
  private enum Activity {
    STARTING,
    WAITING,
    WORKING,
    STOPPING,
    ENDED
  }
}
