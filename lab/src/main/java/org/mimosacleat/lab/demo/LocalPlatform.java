package org.mimosacleat.lab.demo;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.Region;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.core.vmlist.EndpointRecord;
import org.mimosacleat.core.vmlist.ListedState;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.proxy.node.PlatformServices;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.platform.FakeObjectStore;
import org.mimosacleat.standin.platform.FakeTableService;
import org.mimosacleat.standin.platform.FakeVmList;
import org.mimosacleat.standin.platform.FaultInjector;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.lists.PublishResult;

/** The platform of a local fleet, with a first version of both lists. */
public final class LocalPlatform {
  /** The customer in the lists of a local fleet. */
  public static final String CUSTOMER = "members";

  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(5);
  static final String ALLOWANCES =
      """
      [plan standard]
      connections = 100
      concurrent-statements = 400
      statements-per-second = 100000
      guaranteed-share = 50
      request-deadline = 30s
      """;
  static final String PLANS =
      """
      [customer members]
      plan = standard
      """;

  private final InstantSource clock;
  private final FaultInjector tableFaults = new FaultInjector(Sleeper.SYSTEM);
  private final FaultInjector objectFaults = new FaultInjector(Sleeper.SYSTEM);
  private final FakeTableService table = new FakeTableService(tableFaults);
  private final FakeObjectStore objects = new FakeObjectStore(objectFaults);
  private final FakeVmList vmList;

  /** Starts the services and publishes the lists. */
  public LocalPlatform(InstantSource clock) {
    this.clock = clock;
    this.vmList =
        new FakeVmList(
            new FaultInjector(Sleeper.SYSTEM),
            clock,
            new VmListing(clock.instant(), List.of(), List.of()));
    publish(ListKind.ALLOWANCES, new ListVersion(0), ALLOWANCES);
    publish(ListKind.PLANS, new ListVersion(0), PLANS);
  }

  /** Publishes a new version of a list as an operator would. */
  public PublishResult publish(ListKind kind, ListVersion base, String text) {
    ListPublisher publisher = new ListPublisher(table, objects, clock, new SecureRandom());
    return publisher.publish(new ListEdit(kind, base, "local operator", "", text), PUBLISH_TIMEOUT);
  }

  /** Returns the services that proxies use. */
  public PlatformServices services() {
    return new PlatformServices(table, objects, vmList);
  }

  /** Publishes a VM list with the endpoint in state {@code LEAVING}. */
  public void listAsLeaving(GroupId group, EndpointStandin endpoint) {
    EndpointRecord record =
        new EndpointRecord(
            endpoint.id(),
            group,
            endpoint.address(),
            endpoint.zone(),
            new Region("local"),
            ListedState.LEAVING);
    vmList.write(new VmListing(clock.instant(), List.of(), List.of(record)));
  }

  /** Returns the fault injection of the table service. */
  public FaultInjector tableFaults() {
    return tableFaults;
  }

  /** Returns the fault injection of the object store. */
  public FaultInjector objectFaults() {
    return objectFaults;
  }
}
