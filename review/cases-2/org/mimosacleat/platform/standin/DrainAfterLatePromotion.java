package org.mimosacleat.platform.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two releases of a primary. During the first one the platform is slow and a replica is a little
 * behind, as in {@link SlowPromotion}; the second one begins when all has been calm for a while.
 * Checked: no request reaches the second primary later than drain_ms after its report.
 */
final class DrainAfterLatePromotion {
  private static final long CALM_MILLIS = 9_000;

  /** The instance serves for drain_ms and a little longer. */
  private static final long SERVICE_MILLIS = 11_000;

  private static final long AFTER_EXIT_MILLIS = 15_000;

  private DrainAfterLatePromotion() {}

  public static void main(String[] arguments) throws Exception {
    Lab.run(Path.of(arguments[0]), 0, DrainAfterLatePromotion::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    final Journal journal = lab.journal;
    final Instance first = lab.instance("i-1", "tamaki", true);
    final Instance behind = lab.instance("i-2", "kirikiriroa", false);
    Thread.sleep(100);
    final Instance close = lab.instance("i-3", "te-whanganui", false);
    SlowPromotion.stepDownLate(lab, List.of(first, behind, close));
    PromotionApi platform = new PromotionApi(lab);
    platform.proxy("front-tamaki-1", "tamaki");
    platform.proxy("front-kirikiriroa-1", "kirikiriroa");
    platform.proxy("front-te-whanganui-1", "te-whanganui");
    lab.start();
    List<SlowPromotion.Write> writes = new CopyOnWriteArrayList<>();
    for (Proxy proxy : lab.proxies) {
      SlowPromotion.keepWriting(lab, proxy, writes);
    }
    lab.await("a write succeeds", 10_000, () -> !writes.isEmpty());
    Thread.sleep(3_000);
    if (Lab.troubled()) {
      SlowPromotion.receiveLate(
          lab, behind, journal.now() + SlowPromotion.LAG_DURATION_MILLIS);
      journal.say(
          "replica_lag begins: "
              + behind.id
              + " receives commits "
              + SlowPromotion.LAG_MILLIS
              + " ms late");
      Thread.sleep(1_000);
      platform.slownessMillis = SlowPromotion.SLOWNESS_MILLIS;
      journal.say("the platform works on a call after " + SlowPromotion.SLOWNESS_MILLIS + " ms");
    }
    first.drain();
    Thread.sleep(SlowPromotion.DRAIN_MILLIS + 1_000);
    first.leave();
    platform.slownessMillis = 0;
    journal.say("the platform answers at once from now on");
    lab.instance("i-4", "tamaki", false);
    Thread.sleep(CALM_MILLIS);

    Instance second = SlowPromotion.leader(lab.group).orElseThrow();
    second.drain();
    final long drainedAt = journal.now();
    Thread.sleep(SERVICE_MILLIS);
    second.leave();
    final long leftAt = journal.now();
    Thread.sleep(AFTER_EXIT_MILLIS);
    List<SlowPromotion.Write> late = new ArrayList<>();
    int afterExit = 0;
    for (SlowPromotion.Write write : List.copyOf(writes)) {
      boolean atSecond = write.signature().startsWith(second.id + ".");
      if (atSecond && write.sentAt() > drainedAt + SlowPromotion.DRAIN_MILLIS) {
        late.add(write);
      }
      afterExit += write.sentAt() > leftAt ? 1 : 0;
    }
    journal.say(
        "writes run at "
            + second.id
            + " that were sent later than "
            + SlowPromotion.DRAIN_MILLIS
            + " ms after its report: "
            + late.size()
            + "; writes served in "
            + AFTER_EXIT_MILLIS
            + " ms after its exit: "
            + afterExit
            + "; all writes: "
            + writes.size());
    return late.isEmpty();
  }
}
