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

/** The links to other proxies, each opened when it is first needed and again after a loss. */
public final class PeerLinks implements AutoCloseable {
  private final PeerDirectory directory;
  private final PeerAuthenticator authenticator;
  private final ExecutorService executor;
  private final Duration connectTimeout;
  private final int maximumMessageBytes;
  private final ConcurrentHashMap<VmId, PeerLink> links = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<VmId, ReentrantLock> opening = new ConcurrentHashMap<>();

  /** Takes what all links share; {@code executor} runs their readers. */
  public PeerLinks(
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
   * Returns the link to a proxy.
   *
   * @throws IOException if it cannot be reached; nothing was sent to it
   */
  public PeerLink to(VmId peer) throws IOException {
    PeerLink known = links.get(peer);
    if (known != null && known.isOpen()) {
      return known;
    }
    ReentrantLock lock = opening.computeIfAbsent(peer, any -> new ReentrantLock());
    lock.lock();
    try {
      PeerLink openedMeanwhile = links.get(peer);
      if (openedMeanwhile != null && openedMeanwhile.isOpen()) {
        return openedMeanwhile;
      }
      PeerLink opened = PeerLink.open(target(peer), authenticator, executor);
      links.put(peer, opened);
      return opened;
    } finally {
      lock.unlock();
    }
  }

  private PeerTarget target(VmId peer) throws IOException {
    Optional<InetSocketAddress> address = directory.addressOf(peer);
    if (address.isEmpty()) {
      throw new IOException("no address is known of peer " + peer);
    }
    return new PeerTarget(peer, address.get(), connectTimeout, maximumMessageBytes);
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }
}
