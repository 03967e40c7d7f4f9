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
 * One database instance in memory that speaks the PostgreSQL protocol on a port of 127.0.0.1.
 *
 * <p>Call {@link #start}, connect to {@link #address} with any driver, and switch failures on and
 * off by the methods named after them. Log, tables, role and fence outlive {@link #kill}; the port
 * stays the same.
 */
public final class EndpointStandin implements AutoCloseable {
  /** The largest frame that is read, in bytes. */
  public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

  private static final int BACKLOG = 512;
  private static final String TOO_MANY_CONNECTIONS = "53300";

  private final EndpointId id;
  private final AvailabilityZone zone;
  private final EndpointSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ReplicationDirectory directory;
  private final Faults faults = new Faults();
  private final InstanceState state;
  private final InstanceParts parts;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<BackendKey, Session> sessions = new ConcurrentHashMap<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger nextProcessId = new AtomicInteger(1);
  private volatile ServerSocket listener;
  private volatile Future<?> acceptLoop;
  private volatile Follower follower;
  private volatile boolean running;
  private volatile boolean leaving;
  private volatile int port;

  /** Makes an instance that does not run yet; it starts as a primary with an empty log. */
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
    this.parts =
        new InstanceParts(
            state,
            new TableLocks(),
            new SlotPool(settings.slots(), settings.serviceTime(), faults),
            faults,
            this::breakOffFenced,
            directory::wakeFollowers);
  }

  /** Starts listening and replicating; after a {@link #kill} with all that was committed. */
  public void start() {
    long generation = state.start();
    running = true;
    listen(generation);
    directory.add(port, this);
    follower = new Follower(state, directory, this::replicates, settings, clock, splitRandom());
    executor.execute(follower);
  }

  /** Stops at once: connections break, transactions that are not committed are lost. */
  public void kill() {
    running = false;
    state.stop();
    closeListener();
    follower.stop();
    sessions.values().forEach(Session::breakOff);
    sockets.forEach(EndpointStandin::closeQuietly);
    faults.setFrozen(false);
  }

  /** Cuts replication to and from the other instances; clients are still served. */
  public void cutFromGroup() {
    faults.setCutFromGroup(true);
  }

  /** Loses all traffic with clients: nothing is read or answered, nothing new is accepted. */
  public void cutFromClients() {
    faults.setCutFromClients(true);
    closeListener();
  }

  /** Ends {@link #cutFromGroup}, {@link #cutFromClients} and {@link #refuseConnections}. */
  public void heal() {
    faults.setCutFromGroup(false);
    faults.setCutFromClients(false);
    if (running && listener.isClosed()) {
      listen(state.generation());
    }
    directory.wakeFollowers();
  }

  /** Pauses the instance: it accepts connections, but reads, answers and replicates nothing. */
  public void freeze() {
    faults.setFrozen(true);
  }

  /** Ends {@link #freeze}; what had arrived is served then. */
  public void thaw() {
    faults.setFrozen(false);
    directory.wakeFollowers();
  }

  /** Accepts no further connections; open ones are served. */
  public void refuseConnections() {
    closeListener();
  }

  /** Adds to the time of every statement; zero ends it. */
  public void slowBy(Duration delay) {
    faults.setSlowness(delay);
  }

  /** Lets the next commit that wrote something take effect and closes its connection unanswered. */
  public void dropNextAnswer() {
    faults.dropNextAnswer();
  }

  /** Marks the instance as leaving; it goes on serving. */
  public void leave() {
    leaving = true;
  }

  /** Tells whether the instance is leaving. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Tells whether the instance runs. */
  public boolean isRunning() {
    return running;
  }

  /** Tells whether the instance is a replica by its own account. */
  public boolean isReplica() {
    return state.isReplica();
  }

  /** Returns the position that reads on the instance see. */
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

  /** Returns the address to connect to, once the instance was started. */
  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns what the instance has done. */
  public EndpointStatistics statistics() {
    return new EndpointStatistics(
        openConnections.get(), parts.slots().statements(), state.commits());
  }

  @Override
  public void close() {
    if (running) {
      kill();
    }
    faults.setFrozen(false);
    faults.setCutFromClients(false);
    executor.shutdownNow();
  }

  InstanceState state() {
    return state;
  }

  boolean replicates() {
    return running && faults.replicates();
  }

  void wakeFollower() {
    Follower present = follower;
    if (present != null) {
      present.wake();
    }
  }

  private void listen(long generation) {
    try {
      ServerSocket opened = new ServerSocket();
      opened.setReuseAddress(true);
      opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
      port = opened.getLocalPort();
      listener = opened;
      acceptLoop = executor.submit(() -> accept(opened, generation));
    } catch (IOException error) {
      throw new UncheckedIOException("cannot listen on port " + port, error);
    }
  }

  private void accept(ServerSocket from, long generation) {
    while (!from.isClosed()) {
      try {
        Socket socket = from.accept();
        RandomGenerator own = splitRandom();
        executor.execute(() -> serve(socket, generation, own));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket, long generation, RandomGenerator own) {
    sockets.add(socket);
    try (socket) {
      if (!running || state.generation() != generation) {
        return;
      }
      socket.setTcpNoDelay(true);
      faults.awaitServing();
      FrameReader reader = new FrameReader(socket.getInputStream(), MAXIMUM_FRAME_BYTES);
      greet(socket, reader, generation, own);
    } catch (IOException | InterruptedException broken) {
      // The client or a failure that was switched on has ended the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  private void greet(Socket socket, FrameReader reader, long generation, RandomGenerator own)
      throws IOException, InterruptedException {
    try {
      switch (Handshake.read(reader, socket.getOutputStream())) {
        case StartupPacket.Cancel cancel -> cancel(cancel);
        case StartupPacket.Startup startup -> admit(startup, socket, reader, generation, own);
        default -> throw new IOException("startup packet expected");
      }
    } catch (FrameException malformed) {
      new FrameWriter(socket.getOutputStream())
          .write(Frames.error("FATAL", SqlError.PROTOCOL_VIOLATION, malformed.getMessage(), ""));
    }
  }

  private void cancel(StartupPacket.Cancel cancel) {
    Session session = sessions.get(new BackendKey(cancel.processId(), cancel.secretKey()));
    if (session != null) {
      session.cancel();
    }
  }

  private void admit(
      StartupPacket.Startup startup,
      Socket socket,
      FrameReader reader,
      long generation,
      RandomGenerator own)
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
      SessionRights rights = new SessionRights(generation, homeToken(startup));
      open(socket, reader, writer, rights, own);
    } finally {
      openConnections.decrementAndGet();
    }
  }

  private void open(
      Socket socket,
      FrameReader reader,
      FrameWriter writer,
      SessionRights rights,
      RandomGenerator own)
      throws IOException, InterruptedException {
    BackendKey key = new BackendKey(nextProcessId.getAndIncrement(), own.nextInt());
    SessionEngine engine = new SessionEngine(parts, rights, own);
    Session session =
        new Session(socket, reader, writer, engine, faults, rights, new CancelTarget());
    sessions.put(key, session);
    breakOffFenced();
    try {
      writer.write(Handshake.welcome(key, state.isReplica()));
      session.serve();
    } finally {
      sessions.remove(key);
    }
  }

  private void breakOffFenced() {
    HomeFence fence = state.homeFence();
    sessions.values().stream()
        .filter(session -> fence.shutsOut(session.rights().homeToken()))
        .forEach(Session::breakOff);
  }

  private static long homeToken(StartupPacket.Startup startup) throws IOException {
    String text = startup.parameters().get(EndpointStatements.HOME_TOKEN_SETTING);
    try {
      return text == null ? HomeFence.NO_TOKEN : Long.parseLong(text);
    } catch (NumberFormatException malformed) {
      throw new IOException("startup packet: home token must be a number, not " + text, malformed);
    }
  }

  private RandomGenerator splitRandom() {
    return new SplittableRandom(random.nextLong());
  }

  /** Closes the port and waits for the accepting thread, which holds it open until it ends. */
  private void closeListener() {
    try {
      listener.close();
      acceptLoop.get();
    } catch (IOException error) {
      throw new UncheckedIOException("cannot close port " + port, error);
    } catch (ExecutionException error) {
      throw new IllegalStateException("cannot accept on port " + port, error);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException alreadyClosed) {
      // Closing is all that was wanted.
    }
  }
}
