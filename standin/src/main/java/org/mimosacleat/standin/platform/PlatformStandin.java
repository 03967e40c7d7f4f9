package org.mimosacleat.standin.platform;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.store.aws.PlatformSettings;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.object.StoredObject;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.vmlist.ObjectVmList;
import org.mimosacleat.store.vmlist.VmListText;

/**
 * A stand-in for the platform that serves real DynamoDB and S3 clients over HTTP. Start it with
 * {@link #start}, pass {@link #settings} to the adapters, inject faults with {@link #tableFaults}
 * and {@link #objectFaults}, and close it after use. Request signatures are not verified.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration STORE_TIMEOUT = Duration.ofHours(1);

  private final FaultInjector tableFaults = new FaultInjector(Sleeper.SYSTEM);
  private final FaultInjector objectFaults = new FaultInjector(Sleeper.SYSTEM);
  private final FakeTableService table = new FakeTableService(tableFaults);
  private final FakeObjectStore objects = new FakeObjectStore(objectFaults);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpServer tableServer;
  private final HttpServer objectServer;

  private PlatformStandin(InetAddress address) throws IOException {
    this.tableServer = createServer(address, new DynamoHandler(table));
    this.objectServer = createServer(address, new S3Handler(objects));
  }

  /** Starts both services on free ports of {@code address}. */
  public static PlatformStandin start(InetAddress address) throws IOException {
    PlatformStandin standin = new PlatformStandin(address);
    standin.tableServer.start();
    standin.objectServer.start();
    return standin;
  }

  /** Returns the address of the table service. */
  public URI tableEndpoint() {
    return endpoint(tableServer);
  }

  /** Returns the address of the object store. */
  public URI objectEndpoint() {
    return endpoint(objectServer);
  }

  /** Returns settings with which an adapter connects to this stand-in. */
  public PlatformSettings settings() {
    return new PlatformSettings(
        tableEndpoint(),
        objectEndpoint(),
        "local",
        "local",
        new Secret("local"),
        "mimosacleat",
        "mimosacleat",
        CLIENT_TIMEOUT);
  }

  /** Returns the fault injector of the table service. */
  public FaultInjector tableFaults() {
    return tableFaults;
  }

  /** Returns the fault injector of the object store. */
  public FaultInjector objectFaults() {
    return objectFaults;
  }

  /** Returns the in-memory table behind the table service. */
  public FakeTableService table() {
    return table;
  }

  /** Returns the in-memory store behind the object store. */
  public FakeObjectStore objects() {
    return objects;
  }

  /**
   * Writes the VM list, as the platform does.
   *
   * @param listing the new list
   * @param writer a unique id of this write
   */
  public void writeVmList(VmListing listing, WriteId writer) {
    PutCondition condition =
        objects
            .get(ObjectVmList.KEY, java.util.Optional.empty(), STORE_TIMEOUT)
            .map(PlatformStandin::unchangedCondition)
            .getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
    ObjectPut put = new ObjectPut(ObjectVmList.KEY, condition, writer, VmListText.format(listing));
    if (!(objects.put(put, STORE_TIMEOUT) instanceof PutResult.Stored)) {
      throw new IllegalStateException("VM list not stored: put failed for write id " + writer);
    }
  }

  /** Stops both services immediately, without waiting for open requests. */
  @Override
  public void close() {
    tableServer.stop(0);
    objectServer.stop(0);
    executor.shutdownNow();
  }

  private static PutCondition unchangedCondition(ObjectRead read) {
    return read instanceof ObjectRead.Found(StoredObject object)
        ? new PutCondition.Matches(object.tag())
        : new PutCondition.Absent();
  }

  private HttpServer createServer(InetAddress address, HttpHandler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(address, 0), 0);
    server.createContext("/", handler);
    server.setExecutor(executor);
    return server;
  }

  private static URI endpoint(HttpServer server) {
    InetSocketAddress address = server.getAddress();
    return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
  }
}
