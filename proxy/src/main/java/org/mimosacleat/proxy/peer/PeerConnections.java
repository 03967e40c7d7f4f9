package org.mimosacleat.proxy.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.PeerAuthenticator;

/** The connections to other proxies, each opened on first use and reopened after a loss. */
public final class PeerConnections implements AutoCloseable {
  private final PeerDirectory directory;
  private final PeerAuthenticator authenticator;
  private final ExecutorService executor;
  private final Duration connectTimeout;
  private final int maximumMessageBytes;
  private final ConcurrentHashMap<VmId, PeerConnection> connections = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<VmId, ReentrantLock> connectLocks = new ConcurrentHashMap<>();

  /** Sets the parameters of all connections; {@code executor} runs their reader threads. */
  public PeerConnections(
      PeerDirectory directory,
      PeerAuthenticator authenticator,
      ExecutorService executor,
      Duration connectTimeout,
      int maximumMessageBytes) {
    this.directory = directory;
    this.authenticator = authenticator;
    this.executor = executor;
    this.connectTimeout = connectTimeout;
    this.maximumMessageBytes = maximumMessageBytes;
  }

  /**
   * Returns the open connection to a proxy, or opens one.
   *
   * @throws IOException if the connection cannot be opened; nothing was sent
   */
  public PeerConnection to(VmId peer) throws IOException {
    PeerConnection existing = connections.get(peer);
    if (existing != null && existing.isOpen()) {
      return existing;
    }
    ReentrantLock lock = connectLocks.computeIfAbsent(peer, any -> new ReentrantLock());
    lock.lock();
    try {
      PeerConnection openedMeanwhile = connections.get(peer);
      if (openedMeanwhile != null && openedMeanwhile.isOpen()) {
        return openedMeanwhile;
      }
      PeerConnection opened = PeerConnection.open(target(peer), authenticator, executor);
      connections.put(peer, opened);
      return opened;
    } finally {
      lock.unlock();
    }
  }

  private PeerTarget target(VmId peer) throws IOException {
    Optional<InetSocketAddress> address = directory.addressOf(peer);
    if (address.isEmpty()) {
      throw new IOException("the address of peer " + peer + " is not known");
    }
    return new PeerTarget(peer, address.get(), connectTimeout, maximumMessageBytes);
  }

  @Override
  public void close() {
    connections.values().forEach(PeerConnection::close);
  }
}
