package org.mimosacleat.platform.standin;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A primary is to be replaced while the platform is slow, and while one replica receives the log a
 * little later than the other one. Checked: no write is committed at an instance after another one was
 * promoted in its place, and acknowledged.
 */
final class SlowPromotion {
  static final long LAG_MILLIS = 400;
  static final long LAG_DURATION_MILLIS = 6_500;
  private static final long SAMPLE_MILLIS = 5;
  static final long SLOWNESS_MILLIS = 4_000;
  static final long DRAIN_MILLIS = 7_000;

  /** A former primary goes on until a second after it can reach the new one. */
  private static final long STEP_DOWN_MILLIS = 900;

  private SlowPromotion() {}

  public static void main(String[] arguments) throws Exception {
    Lab.run(Path.of(arguments[0]), 0, SlowPromotion::holds);
  }

  /** An acknowledged write: when its client sent it, and which instance signed it. */
  record Write(String id, long sentAt, String signature) {}

  private static boolean holds(Lab lab) throws Exception {
    final Journal journal = lab.journal;
    final Instance primary = lab.instance("i-1", "tamaki", true);
    final Instance behind = lab.instance("i-2", "kirikiriroa", false);
    Thread.sleep(100);
    final Instance close = lab.instance("i-3", "te-whanganui", false);
    stepDownLate(lab, List.of(primary, behind, close));
    PromotionApi platform = new PromotionApi(lab);
    platform.proxy("front-tamaki-1", "tamaki");
    platform.proxy("front-kirikiriroa-1", "kirikiriroa");
    platform.proxy("front-te-whanganui-1", "te-whanganui");
    lab.start();
    for (Proxy proxy : lab.proxies) {
      try (Client client = lab.client("warm-up", proxy, Lab.PRIMARY_DATABASE)) {
        lab.await(
            "a write succeeds at " + proxy.name, 10_000, () -> client.query("WRITE w0 warm").ok());
      }
    }
    List<Write> writes = new CopyOnWriteArrayList<>();
    for (Proxy proxy : lab.proxies) {
      for (int number = 0; number < 3; number++) {
        keepWriting(lab, proxy, writes);
      }
    }
    Thread.sleep(4_000);

    if (Lab.troubled()) {
      receiveLate(lab, behind, journal.now() + LAG_DURATION_MILLIS);
      journal.say("replica_lag begins: " + behind.id + " receives commits " + LAG_MILLIS + " ms late");
      Thread.sleep(1_000);
      platform.slownessMillis = SLOWNESS_MILLIS;
      journal.say("the platform is slow from now on: it works on a call after " + SLOWNESS_MILLIS);
    }
    primary.drain();
    Thread.sleep(DRAIN_MILLIS + 1_000);
    primary.leave();
    Thread.sleep(9_000);

    List<Instance> all = List.of(primary, behind, close);
    List<Write> late = new ArrayList<>();
    for (Write write : List.copyOf(writes)) {
      for (Instance signer : all) {
        boolean signed = write.signature.startsWith(signer.id + ".");
        if (signed && wasReplacedBefore(write.sentAt, signer, all)) {
          late.add(write);
        }
      }
    }
    for (Instance instance : all) {
      journal.say(instance.id + " was promoted at " + instance.promotedAt);
    }
    late.forEach(
        write ->
            journal.line(
                "committed at a former primary after a promotion: "
                    + write
                    + ", in the log of the present primary: "
                    + all.stream()
                        .filter(one -> one.primary)
                        .anyMatch(
                            one ->
                                one.log().stream()
                                    .anyMatch(entry -> entry.id().equals(write.id)))));
    journal.say(
        "acknowledged writes: "
            + writes.size()
            + "; committed at a former primary after a promotion had taken effect: "
            + late.size());
    if (writes.isEmpty() || all.stream().allMatch(one -> one.promotedAt < 0)) {
      throw new Lab.CannotRun("no write succeeded, or nobody was promoted");
    }
    return late.isEmpty();
  }

  /** Returns whether another instance was promoted after this one, and before a time. */
  private static boolean wasReplacedBefore(long time, Instance signer, List<Instance> all) {
    return all.stream()
        .filter(other -> other != signer)
        .anyMatch(
            other ->
                other.promotedAt > signer.promotedAt
                    && other.promotedAt >= 0
                    && other.promotedAt < time);
  }

  /** Lets a replica receive each commit of the primary {@value #LAG_MILLIS} ms late for a while. */
  static void receiveLate(Lab lab, Instance replica, long until)
      throws ReflectiveOperationException {
    replica.deaf = true;
    Field field = Instance.class.getDeclaredField("log");
    field.setAccessible(true);
    @SuppressWarnings("unchecked")
    List<Group.Entry> log = (List<Group.Entry>) field.get(replica);
    Thread.ofVirtual()
        .start(
            () -> {
              while (lab.journal.now() < until) {
                Store.pause(SAMPLE_MILLIS);
                Optional<Instance> source = leader(lab.group);
                source.ifPresent(from -> deliver(lab.group, replica, log, from.term, from.log()));
              }
              Store.pause(LAG_MILLIS);
              replica.deaf = false;
              lab.journal.say("replica_lag ends: " + replica.id + " receives commits at once");
            });
  }

  /** Lets a primary that was replaced without DEMOTE notice that no sooner than the pages say. */
  static void stepDownLate(Lab lab, List<Instance> all) {
    Thread.ofVirtual()
        .start(
            () -> {
              long seen = 1;
              while (true) {
                Store.pause(SAMPLE_MILLIS);
                Optional<Instance> latest = leader(lab.group).filter(one -> one.term > 1);
                if (latest.isEmpty() || latest.get().term == seen) {
                  continue;
                }
                seen = latest.get().term;
                for (Instance former : all) {
                  if (former != latest.get() && former.primary) {
                    former.partedFrom.add(latest.get());
                    Store.pause(STEP_DOWN_MILLIS);
                    former.partedFrom.remove(latest.get());
                  }
                }
              }
            });
  }

  private static void deliver(
      Group group, Instance replica, List<Group.Entry> log, long term, List<Group.Entry> sent) {
    Thread.ofVirtual()
        .start(
            () -> {
              Store.pause(LAG_MILLIS);
              synchronized (group) {
                boolean isNew = term > replica.term || sent.size() > log.size();
                if (!replica.primary && term >= replica.term && isNew) {
                  replica.term = term;
                  log.clear();
                  log.addAll(sent);
                }
              }
            });
  }

  static Optional<Instance> leader(Group group) {
    synchronized (group) {
      return group.instances.stream()
          .filter(one -> one.running && one.primary)
          .max(Comparator.comparingLong(one -> one.term));
    }
  }

  static void keepWriting(Lab lab, Proxy proxy, List<Write> writes) {
    Thread.ofVirtual()
        .start(
            () -> {
              while (true) {
                try (Client client = lab.client("at " + proxy.name, proxy, Lab.PRIMARY_DATABASE)) {
                  writeUntilRefused(lab, client, writes);
                } catch (IOException ended) {
                  // A new session follows.
                }
                Store.pause(50);
              }
            });
  }

  private static void writeUntilRefused(Lab lab, Client client, List<Write> writes)
      throws IOException {
    while (true) {
      String id = Client.newId();
      long sentAt = lab.journal.now();
      Client.Reply reply = client.query(id, "WRITE item-" + id + " data");
      if (!reply.ok()) {
        return;
      }
      writes.add(new Write(id, sentAt, reply.signature()));
      Store.pause(50);
    }
  }
}
