package org.mimosacleat.lab.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.standin.endpoint.GroupStandin;
import org.mimosacleat.standin.platform.PlatformStandin;
import org.mimosacleat.store.aws.AwsPlatform;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.pacing.StorePacer;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/**
 * The external systems of a small deployment, for proxies that run in separate processes: the
 * platform over HTTP, one group, both lists, and a settings file for each proxy.
 */
public final class StandinHost implements AutoCloseable {
  /** The customer in the lists. */
  public static final String CUSTOMER = "members";

  /** The password of {@link #CUSTOMER}. */
  public static final String PASSWORD = "local password";

  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(10);
  // High enough that the request limit does not delay the publication of the lists.
  private static final double REQUESTS_PER_SECOND = 1_000;
  private static final GroupId GROUP = new GroupId("lending-1");

  private final PlatformStandin platform;
  private final GroupStandin group;

  private StandinHost(PlatformStandin platform, GroupStandin group) {
    this.platform = platform;
    this.group = group;
  }

  /** Starts the stand-ins and writes {@code vm-N.ini} for each proxy to {@code folder}. */
  public static StandinHost start(Path folder, int proxies) throws IOException {
    LocalFleetConfig config = LocalFleetConfig.small(GROUP.value());
    InstantSource clock = new MonotonicClock();
    PlatformStandin platform = PlatformStandin.start(InetAddress.getLoopbackAddress());
    GroupStandin group =
        new GroupStandin(
            GROUP, config.zones(), config.endpoints(), clock, new SplittableRandom(config.seed()));
    group.start();
    publishLists(platform, clock);
    SettingsFileFormatter formatter =
        new SettingsFileFormatter(
            config.zones(),
            FreePorts.findAddresses(proxies * ProxySettingsFactory.PORTS_PER_PROXY),
            platform.settings(),
            List.of(group));
    Files.createDirectories(folder);
    for (int number = 0; number < proxies; number++) {
      Files.writeString(folder.resolve("vm-" + (number + 1) + ".ini"), formatter.format(number));
    }
    return new StandinHost(platform, group);
  }

  @Override
  public void close() {
    group.close();
    platform.close();
  }

  private static void publishLists(PlatformStandin platform, InstantSource clock) {
    try (AwsPlatform client =
        new AwsPlatform(platform.settings(), createPacer(clock), createPacer(clock), clock)) {
      ListPublisher publisher =
          new ListPublisher(client.table(), client.objects(), clock, new SecureRandom());
      publish(publisher, ListKind.ALLOWANCES, LocalPlatform.ALLOWANCES);
      publish(
          publisher, ListKind.PLANS, LocalPlatform.PLANS + "scram-verifier = " + createVerifier());
    }
  }

  private static void publish(ListPublisher publisher, ListKind kind, String text) {
    publisher.publish(
        new ListEdit(kind, new ListVersion(0), "local operator", "", text + "\n"), PUBLISH_TIMEOUT);
  }

  private static String createVerifier() {
    return ScramVerifier.of(
            PASSWORD.toCharArray(), ScramVerifier.DEFAULT_ITERATIONS, new SecureRandom())
        .encode();
  }

  private static StorePacer createPacer(InstantSource clock) {
    StoreLimits limits = StoreLimits.forFleet(1, REQUESTS_PER_SECOND);
    return new StorePacer(
        new StoreRateLimiter(limits, clock, new SecureRandom()), clock, Sleeper.SYSTEM);
  }
}
