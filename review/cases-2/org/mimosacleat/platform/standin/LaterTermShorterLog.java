package org.mimosacleat.platform.standin;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A service with one sync replica: one replica falls behind, the primary crashes meanwhile, and the
 * replica that is promoted is cut off from one of three proxies. Checked: each acknowledged commit is
 * in the log of each instance that is promoted.
 */
final class LaterTermShorterLog {
  private static final int COMMITS = 20;
  private static final long LAG_MILLIS = 3_000;
  private static final long LAG_DURATION_MILLIS = 7_000;
  private static final long CUT_MILLIS = 4_900;
  private static final long SAMPLE_MILLIS = 2;

  private LaterTermShorterLog() {}

  public static void main(String[] arguments) throws Exception {
    Lab.run(Path.of(arguments[0]), 1, LaterTermShorterLog::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    final Journal journal = lab.journal;
    final Instance primary = lab.instance("i-1", "tamaki", true);
    final Instance complete = lab.instance("i-2", "kirikiriroa", false);
    final Instance behind = lab.instance("i-3", "te-whanganui", false);
    final Proxy proxy = lab.proxy("front-tamaki-1", "tamaki");
    lab.proxy("front-kirikiriroa-1", "kirikiriroa");
    lab.proxy("front-te-whanganui-1", "te-whanganui");
    AtomicReference<String> holder = new AtomicReference<>();
    lab.store.watcher = (machine, table, value) -> noteHolder(holder, machine, table, value);
    lab.start();
    for (Proxy one : lab.proxies) {
      try (Client client = lab.client("warm-up", one, Lab.PRIMARY_DATABASE)) {
        lab.await(
            "a write succeeds at " + one.name, 10_000, () -> client.query("WRITE w0 warm").ok());
      }
    }
    Thread.sleep(8_000);
    if (Lab.troubled()) {
      receiveLate(lab, behind, journal.now() + LAG_DURATION_MILLIS);
    }
    final List<String> acknowledged = write(lab, proxy);
    primary.crash();
    lab.keepWriting(proxy, 100);
    lab.await("a promotion is requested", 20_000, () -> !lab.tokens.isEmpty());
    if (Lab.troubled()) {
      cutOff(lab, complete, holder.get());
    }
    Thread.sleep(12_000);
    long lost = 0;
    for (Instance promoted : List.of(complete, behind)) {
      if (promoted.promotedAt >= 0) {
        List<String> kept = promoted.log().stream().map(Group.Entry::id).toList();
        long lacks = acknowledged.stream().filter(id -> !kept.contains(id)).count();
        lost += lacks;
        journal.say(
            promoted.id
                + " was promoted at "
                + promoted.promotedAt
                + ", has now "
                + promoted.received()
                + "; acknowledged commits that it lacks: "
                + lacks
                + " of "
                + acknowledged.size());
      }
    }
    if (acknowledged.size() < COMMITS || lab.tokens.isEmpty()) {
      throw new Lab.CannotRun("a write was not acknowledged, or nobody was promoted");
    }
    return lost == 0;
  }

  private static void noteHolder(
      AtomicReference<String> holder, String machine, String table, String value) {
    if (table.equals("primaries")) {
      JsonObject record = JsonParser.parseString(value).getAsJsonObject();
      if (record.has("holder") && record.get("holder").getAsString().equals(machine)) {
        holder.set(machine);
      }
    }
  }

  private static List<String> write(Lab lab, Proxy proxy) throws Exception {
    List<String> acknowledged = new ArrayList<>();
    try (Client client = lab.client("client", proxy, Lab.PRIMARY_DATABASE)) {
      for (int number = 0; number < COMMITS; number++) {
        String id = Client.newId();
        if (client.query(id, "WRITE booking-" + number + " paid").ok()) {
          acknowledged.add(id);
        }
        Thread.sleep(30);
      }
    }
    return acknowledged;
  }

  /** Cuts an instance off from the holder of the replacement. */
  private static void cutOff(Lab lab, Instance instance, String holder) {
    List<Relay> paths = lab.pathsBetween(holder, instance.id);
    lab.journal.say("primary_cut begins: " + instance.id + " is cut off from " + holder);
    lab.cut(paths);
    Thread.ofVirtual()
        .start(
            () -> {
              Store.pause(CUT_MILLIS);
              lab.heal(paths);
              lab.journal.say("primary_cut ends after " + CUT_MILLIS + " ms");
            });
  }

  /**
   * Lets a replica receive each commit {@value #LAG_MILLIS} ms late for a while. It hears of a new
   * term at once.
   */
  private static void receiveLate(Lab lab, Instance replica, long until) {
    replica.deaf = true;
    lab.journal.say(
        "replica_lag begins: " + replica.id + " receives commits " + LAG_MILLIS + " ms late");
    Thread.ofVirtual()
        .start(
            () -> {
              long leadsSince = 0;
              long term = replica.term;
              while (lab.journal.now() < until && !replica.primary) {
                Store.pause(SAMPLE_MILLIS);
                for (Instance leader : List.copyOf(lab.group.instances)) {
                  if (leader.running && leader.primary && leader.term > term) {
                    term = leader.term;
                    leadsSince = lab.journal.now();
                  }
                }
                replica.term = term;
                if (leadsSince > 0 && lab.journal.now() > leadsSince + LAG_MILLIS) {
                  break;
                }
              }
              replica.deaf = false;
              lab.journal.say("replica_lag ends: " + replica.id + " receives commits at once");
            });
  }
}
