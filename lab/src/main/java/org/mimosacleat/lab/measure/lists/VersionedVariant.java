package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.lists.CustomerPlan;
import org.mimosacleat.core.lists.ListEditor;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListRegistry;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PlansList;
import org.mimosacleat.core.lists.PlansText;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.standin.platform.FakeObjectStore;
import org.mimosacleat.standin.platform.FakeTableService;
import org.mimosacleat.standin.platform.FaultInjector;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.lists.PublishResult;

/**
 * Orders edits by versions with conditional writes, using the production publisher and registry.
 */
final class VersionedVariant implements ListVariant<PublishedList> {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final double SHARE_PER_SERIAL = 1e-5;
  private static final String ALLOWANCES =
      "[plan all]\nconnections = 1\nconcurrent-statements = 1\n"
          + "statements-per-second = 1\nguaranteed-share = 0\n";

  private final int keys;
  private final ListPublisher publisher;
  private final ListFetcher fetcher;
  private final List<ListRegistry> registries = new ArrayList<>();

  VersionedVariant(PausedClock clock, RandomGenerator random, int proxies, int keys) {
    this.keys = keys;
    FaultInjector faults = new FaultInjector(clock::advance);
    FakeTableService table = new FakeTableService(faults);
    FakeObjectStore objects = new FakeObjectStore(faults);
    this.publisher = new ListPublisher(table, objects, clock, random);
    this.fetcher = new ListFetcher(table, objects);
    for (int proxy = 0; proxy < proxies; proxy++) {
      registries.add(new ListRegistry());
    }
    publish(ListKind.ALLOWANCES, 0, ALLOWANCES);
    publish(ListKind.PLANS, 0, initialPlans());
  }

  @Override
  public Snapshot read(int proxy) {
    PublishedList newest = newest();
    return new Snapshot(newest.version().number(), serials(newest.text()));
  }

  @Override
  public Optional<PublishedList> submit(Edit edit, Snapshot base) {
    String baseText =
        fetcher
            .version(ListKind.PLANS, new ListVersion(base.version()), TIMEOUT)
            .get()
            .map(PublishedList::text)
            .orElseThrow();
    String share = Double.toString(edit.serial() * SHARE_PER_SERIAL);
    String editedText =
        ListEditor.set(baseText, "customer c" + edit.key(), PlansText.SHARE_KEY, share);
    PublishResult result = publish(ListKind.PLANS, base.version(), editedText);
    return result instanceof PublishResult.Accepted(PublishedList list)
        ? Optional.of(list)
        : Optional.empty();
  }

  @Override
  public void deliver(int proxy, PublishedList message) {
    registries.get(proxy).offer(message);
  }

  @Override
  public List<Long> currentValues(int proxy) {
    return serials(registries.get(proxy).activeLists().pair().plans());
  }

  private PublishResult publish(ListKind kind, long base, String text) {
    ListEdit edit = new ListEdit(kind, new ListVersion(base), "operator", "", text);
    return publisher.publish(edit, TIMEOUT);
  }

  private PublishedList newest() {
    return fetcher.newest(ListKind.PLANS, TIMEOUT).get().orElseThrow();
  }

  private String initialPlans() {
    StringBuilder text = new StringBuilder();
    for (int key = 0; key < keys; key++) {
      text.append("[customer c").append(key).append("]\nplan = all\n");
    }
    return text.toString();
  }

  private List<Long> serials(String text) {
    return serials(PlansText.parse(text).get());
  }

  private List<Long> serials(PlansList plans) {
    List<Long> serials = new ArrayList<>();
    for (int key = 0; key < keys; key++) {
      double share =
          plans.of(new TeamId("c" + key)).flatMap(CustomerPlan::guaranteedShare).orElse(0.0);
      serials.add(Math.round(share / SHARE_PER_SERIAL));
    }
    return serials;
  }
}
