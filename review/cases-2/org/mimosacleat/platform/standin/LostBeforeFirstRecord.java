package org.mimosacleat.platform.standin;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The primary of a service is lost for good a second before the system starts for the first time.
 * Checked: the service is served by its two other instances.
 */
final class LostBeforeFirstRecord {
  private static final long TIME_BEFORE_START_MILLIS = 1_000;
  private static final long WAIT_MILLIS = 60_000;
  private static final long PAUSE_MILLIS = 500;

  private LostBeforeFirstRecord() {}

  public static void main(String[] arguments) throws Exception {
    Lab.run(Path.of(arguments[0]), 0, LostBeforeFirstRecord::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    final Journal journal = lab.journal;
    final Instance primary = lab.instance("i-1", "tamaki", true);
    final Instance second = lab.instance("i-2", "kirikiriroa", false);
    final Instance third = lab.instance("i-3", "te-whanganui", false);
    Thread.sleep(2_000);
    PromotionApi platform = new PromotionApi(lab);
    platform.proxy("front-tamaki-1", "tamaki");
    platform.proxy("front-kirikiriroa-1", "kirikiriroa");
    platform.proxy("front-te-whanganui-1", "te-whanganui");
    if (Lab.troubled()) {
      primary.crash();
      journal.say("srv_crash (gone): " + primary.id + " is lost for good");
    }
    Thread.sleep(TIME_BEFORE_START_MILLIS);
    journal.say("all proxies start for the first time");
    for (Proxy proxy : lab.proxies) {
      proxy.start(lab.repository);
    }
    long until = journal.now() + WAIT_MILLIS;
    int tries = 0;
    int writes = 0;
    int reads = 0;
    while (journal.now() < until && writes < 10) {
      for (Proxy proxy : lab.proxies) {
        tries++;
        writes += isServed(lab, proxy, Lab.PRIMARY_DATABASE, "WRITE item data") ? 1 : 0;
        reads += isServed(lab, proxy, Lab.BOUNDED_DATABASE, "READ item") ? 1 : 0;
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    boolean ready = lab.proxies.stream().allMatch(Lab::isReady);
    journal.say(
        tries
            + " writes and as many reads were sent; served: "
            + writes
            + " writes, "
            + reads
            + " reads; promoted: "
            + (second.promotedAt >= 0 || third.promotedAt >= 0)
            + "; all proxies report themselves ready: "
            + ready);
    return writes > 0;
  }

  private static boolean isServed(Lab lab, Proxy proxy, String database, String text) {
    try (Client client = lab.client("at " + proxy.name, proxy, database)) {
      return client.query(text).ok();
    } catch (IOException closed) {
      return false;
    }
  }
}
