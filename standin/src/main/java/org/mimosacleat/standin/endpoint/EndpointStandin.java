package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/**
 * An in-memory database instance that speaks the PostgreSQL protocol on a port of 127.0.0.1.
 *
 * <p>Call {@link #start}, connect to {@link #address} with any PostgreSQL driver, and inject faults
 * with {@link #kill}, {@link #freeze}, {@link #partitionFromGroup} and the like. The log, the
 * tables, the role, the fence and the port survive {@link #kill}.
 */
public final class EndpointStandin implements AutoCloseable {
  /** The maximum size of a frame from a client, in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int BACKLOG = 512;
  private static final String TOO_MANY_CONNECTIONS = "53300";

  private final EndpointId id;
  private final AvailabilityZone zone;
  private final EndpointSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ReplicationDirectory directory;
  private final InstanceFaults faults = new InstanceFaults();
  private final InstanceState state;
  private final SessionDependencies sessionDependencies;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<BackendKey, Session> sessions = new ConcurrentHashMap<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger nextProcessId = new AtomicInteger(1);
  private volatile ServerSocket listener;
  private volatile Future<?> acceptLoop;
  private volatile Replicator replicator;
  private volatile boolean running;
  private volatile boolean leaving;
  private volatile int port;

  /** Creates a stopped instance; it starts as a primary with an empty log. */
  public EndpointStandin(
      EndpointId id,
      AvailabilityZone zone,
      EndpointSettings settings,
      InstantSource clock,
      RandomGenerator random,
      ReplicationDirectory directory) {
    this.id = id;
    this.zone = zone;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.directory = directory;
    this.state = new InstanceState(clock);
    this.sessionDependencies =
        new SessionDependencies(
            state,
            new TableLocks(),
            new SlotPool(settings.slots(), settings.serviceTime(), faults),
            faults,
            this::closeFencedSessions,
            directory::wakeReplicators);
  }

  /** Starts listening and replicating; after a {@link #kill}, with all committed data. */
  public void start() {
    long generation = state.start();
    running = true;
    listen(generation);
    directory.add(port, this);
    replicator =
        new Replicator(state, directory, this::canReplicate, settings, clock, splitRandom());
    executor.execute(replicator);
  }

  /** Stops immediately: closes all connections and loses uncommitted transactions. */
  public void kill() {
    running = false;
    state.stop();
    closeListener();
    replicator.stop();
    sessions.values().forEach(Session::disconnect);
    sockets.forEach(EndpointStandin::closeQuietly);
    faults.setFrozen(false);
  }

  /** Stops replication to and from the other instances; clients are still served. */
  public void partitionFromGroup() {
    faults.setPartitionedFromGroup(true);
  }

  /**
   * Stops all traffic with clients: the instance reads no requests, sends no responses and accepts
   * no connections.
   */
  public void partitionFromClients() {
    faults.setPartitionedFromClients(true);
    closeListener();
  }

  /**
   * Ends {@link #partitionFromGroup}, {@link #partitionFromClients} and {@link #refuseConnections}.
   */
  public void restoreConnectivity() {
    faults.setPartitionedFromGroup(false);
    faults.setPartitionedFromClients(false);
    if (running && listener.isClosed()) {
      listen(state.generation());
    }
    directory.wakeReplicators();
  }

  /** Pauses the instance: it accepts connections, but does not read, respond or replicate. */
  public void freeze() {
    faults.setFrozen(true);
  }

  /** Ends {@link #freeze}; requests that have arrived meanwhile are then served. */
  public void thaw() {
    faults.setFrozen(false);
    directory.wakeReplicators();
  }

  /** Refuses new connections; open ones are still served. */
  public void refuseConnections() {
    closeListener();
  }

  /** Adds a delay to every statement that needs a slot; zero removes the delay. */
  public void setStatementDelay(Duration delay) {
    faults.setStatementDelay(delay);
  }

  /** Lets the next commit with writes take effect, but closes its connection without a response. */
  public void dropNextResponse() {
    faults.dropNextResponse();
  }

  /** Marks the instance as leaving the group; it continues to serve. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the instance is marked as leaving the group. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns whether the instance is running. */
  public boolean isRunning() {
    return running;
  }

  /** Returns whether the instance considers itself a replica. */
  public boolean isReplica() {
    return state.isReplica();
  }

  /** Returns the log position up to which reads on the instance see the data. */
  public Position replayedPosition() {
    return state.status().replayed();
  }

  /** Returns the id. */
  public EndpointId id() {
    return id;
  }

  /** Returns the availability zone. */
  public AvailabilityZone zone() {
    return zone;
  }

  /** Returns the address to connect to; it is valid once the instance has been started. */
  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns the counters of the instance. */
  public EndpointStatistics statistics() {
    return new EndpointStatistics(
        openConnections.get(), sessionDependencies.slots().statements(), state.commits());
  }

  @Override
  public void close() {
    if (running) {
      kill();
    }
    faults.setFrozen(false);
    faults.setPartitionedFromClients(false);
    executor.shutdownNow();
  }

  InstanceState state() {
    return state;
  }

  boolean canReplicate() {
    return running && faults.canReplicate();
  }

  void wakeReplicator() {
    Replicator current = replicator;
    if (current != null) {
      current.wake();
    }
  }

  private void listen(long generation) {
    try {
      ServerSocket serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
      port = serverSocket.getLocalPort();
      listener = serverSocket;
      acceptLoop = executor.submit(() -> acceptConnections(serverSocket, generation));
    } catch (IOException error) {
      throw new UncheckedIOException("cannot listen on port " + port, error);
    }
  }

  private void acceptConnections(ServerSocket serverSocket, long generation) {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        RandomGenerator sessionRandom = splitRandom();
        executor.execute(() -> serveConnection(socket, generation, sessionRandom));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serveConnection(Socket socket, long generation, RandomGenerator sessionRandom) {
    sockets.add(socket);
    try (socket) {
      if (!running || state.generation() != generation) {
        return;
      }
      socket.setTcpNoDelay(true);
      faults.awaitServing();
      FrameReader reader = new FrameReader(socket.getInputStream(), MAX_FRAME_BYTES);
      handleStartup(socket, reader, generation, sessionRandom);
    } catch (IOException | InterruptedException broken) {
      // The client or an injected fault has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  private void handleStartup(
      Socket socket, FrameReader reader, long generation, RandomGenerator sessionRandom)
      throws IOException, InterruptedException {
    try {
      switch (Handshake.readStartupPacket(reader, socket.getOutputStream())) {
        case StartupPacket.CancelRequest cancel -> cancel(cancel);
        case StartupPacket.Startup startup ->
            acceptClient(startup, socket, reader, generation, sessionRandom);
        default -> throw new IOException("expected a startup packet or a cancel request");
      }
    } catch (FrameException malformed) {
      new FrameWriter(socket.getOutputStream())
          .write(
              Frames.error(
                  "FATAL", SqlStateException.PROTOCOL_VIOLATION, malformed.getMessage(), ""));
    }
  }

  private void cancel(StartupPacket.CancelRequest cancel) {
    Session session = sessions.get(new BackendKey(cancel.processId(), cancel.secretKey()));
    if (session != null) {
      session.cancel();
    }
  }

  private void acceptClient(
      StartupPacket.Startup startup,
      Socket socket,
      FrameReader reader,
      long generation,
      RandomGenerator sessionRandom)
      throws IOException, InterruptedException {
    FrameWriter writer = new FrameWriter(socket.getOutputStream());
    try {
      if (openConnections.incrementAndGet() > settings.maximumConnections()) {
        writer.write(
            Frames.error("FATAL", TOO_MANY_CONNECTIONS, "sorry, too many clients already", ""));
        return;
      }
      Thread.sleep(settings.connectDelay());
      faults.awaitServing();
      String user = startup.parameters().getOrDefault("user", "");
      Optional<ScramVerifier> verifier = settings.verifier();
      if (verifier.isPresent() && !Handshake.authenticate(user, verifier.get(), reader, writer)) {
        return;
      }
      FencingTokens fencingTokens = new FencingTokens(generation, parseHomeToken(startup));
      runSession(socket, reader, writer, fencingTokens, sessionRandom);
    } finally {
      openConnections.decrementAndGet();
    }
  }

  private void runSession(
      Socket socket,
      FrameReader reader,
      FrameWriter writer,
      FencingTokens fencingTokens,
      RandomGenerator sessionRandom)
      throws IOException, InterruptedException {
    BackendKey key = new BackendKey(nextProcessId.getAndIncrement(), sessionRandom.nextInt());
    SessionEngine engine = new SessionEngine(sessionDependencies, fencingTokens, sessionRandom);
    Session session =
        new Session(socket, reader, writer, engine, faults, fencingTokens, new CancelTarget());
    sessions.put(key, session);
    closeFencedSessions();
    try {
      writer.write(Handshake.sessionStartFrames(key, state.isReplica()));
      session.serve();
    } finally {
      sessions.remove(key);
    }
  }

  private void closeFencedSessions() {
    HomeFence fence = state.homeFence();
    sessions.values().stream()
        .filter(session -> fence.rejects(session.fencingTokens().homeToken()))
        .forEach(Session::disconnect);
  }

  private static long parseHomeToken(StartupPacket.Startup startup) throws IOException {
    String text = startup.parameters().get(EndpointStatements.HOME_TOKEN_SETTING);
    try {
      return text == null ? HomeFence.NO_TOKEN : Long.parseLong(text);
    } catch (NumberFormatException malformed) {
      throw new IOException(
          "startup packet: home token must be a number, but was " + text, malformed);
    }
  }

  private RandomGenerator splitRandom() {
    return new SplittableRandom(random.nextLong());
  }

  /** Closes the port and waits for the accepting thread, which keeps it open until it ends. */
  private void closeListener() {
    try {
      listener.close();
      acceptLoop.get();
    } catch (IOException error) {
      throw new UncheckedIOException("cannot close port " + port, error);
    } catch (ExecutionException error) {
      throw new IllegalStateException("cannot accept connections on port " + port, error);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException alreadyClosed) {
      // The socket is closed already.
    }
  }
}
