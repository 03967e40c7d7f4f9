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
 * A stand-in for the platform that real clients of DynamoDB and S3 can talk to over HTTP. Start it
 * with {@link #start}, give {@link #settings} to the adapters, switch faults on {@link
 * #tableFaults} and {@link #objectFaults}, and close it in the end. Signatures are not checked.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LOCAL_TIMEOUT = Duration.ofHours(1);

  private final Faults tableFaults = new Faults(Sleeper.SYSTEM);
  private final Faults objectFaults = new Faults(Sleeper.SYSTEM);
  private final FakeTableService table = new FakeTableService(tableFaults);
  private final FakeObjectStore objects = new FakeObjectStore(objectFaults);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final HttpServer tableServer;
  private final HttpServer objectServer;

  private PlatformStandin(InetAddress address) throws IOException {
    this.tableServer = server(address, new DynamoHandler(table));
    this.objectServer = server(address, new S3Handler(objects));
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

  /** Returns settings that lead an adapter here. */
  public PlatformSettings settings() {
    return new PlatformSettings(
        tableEndpoint(),
        objectEndpoint(),
        "local",
        "local",
        new Secret("local"),
        "mimosacleat",
        "mimosacleat",
        CALL_TIMEOUT);
  }

  /** Returns the switches of the table service's faults. */
  public Faults tableFaults() {
    return tableFaults;
  }

  /** Returns the switches of the object store's faults. */
  public Faults objectFaults() {
    return objectFaults;
  }

  /** Returns the rows behind the table service. */
  public FakeTableService table() {
    return table;
  }

  /** Returns the objects behind the object store. */
  public FakeObjectStore objects() {
    return objects;
  }

  /**
   * Writes the list of VMs, as the platform does.
   *
   * @param listing the list
   * @param writer a unique name of this write
   */
  public void writeVmList(VmListing listing, WriteId writer) {
    PutCondition condition =
        objects
            .get(ObjectVmList.KEY, java.util.Optional.empty(), LOCAL_TIMEOUT)
            .map(PlatformStandin::asItIs)
            .getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
    ObjectPut put = new ObjectPut(ObjectVmList.KEY, condition, writer, VmListText.print(listing));
    if (!(objects.put(put, LOCAL_TIMEOUT) instanceof PutResult.Stored)) {
      throw new IllegalStateException("the list of VMs was not stored by " + writer);
    }
  }

  /** Ends both services at once. */
  @Override
  public void close() {
    tableServer.stop(0);
    objectServer.stop(0);
    executor.shutdownNow();
  }

  private static PutCondition asItIs(ObjectRead read) {
    return read instanceof ObjectRead.Found(StoredObject object)
        ? new PutCondition.Matches(object.tag())
        : new PutCondition.Absent();
  }

  private HttpServer server(InetAddress address, HttpHandler handler) throws IOException {
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
