package org.mimosacleat.platform.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one proxy come in short bursts, write statements of almost 1 MiB and leave. Checked:
 * afterwards the proxy serves small writes again.
 */
final class LargeWrites {
  private static final int CLIENTS = 36;
  private static final int LARGE_BYTES = (1 << 20) - 64;
  private static final int SMALL_BYTES = 500;
  private static final int BURSTS = 6;
  private static final long BURST_MILLIS = 3_000;
  private static final long PAUSE_MILLIS = 3_000;

  /** Longer than recover_s, which is 12 s. */
  private static final long REST_MILLIS = 14_000;

  private static final int TRIES = 12;

  private LargeWrites() {}

  public static void main(String[] arguments) throws Exception {
    Lab.run(Path.of(arguments[0]), 0, LargeWrites::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    final Journal journal = lab.journal;
    lab.instance("i-1", "tamaki", true);
    lab.instance("i-2", "kirikiriroa", false);
    lab.instance("i-3", "te-whanganui", false);
    PromotionApi platform = new PromotionApi(lab);
    final Proxy proxy = platform.proxy("front-tamaki-1", "tamaki");
    final Proxy other = platform.proxy("front-kirikiriroa-1", "kirikiriroa");
    platform.proxy("front-te-whanganui-1", "te-whanganui");
    lab.start();
    for (Proxy one : lab.proxies) {
      lab.await("a write succeeds at " + one.name, 10_000, () -> writesAt(lab, one));
    }
    for (int burst = 0; burst < BURSTS; burst++) {
      write(lab, proxy, Lab.troubled() ? LARGE_BYTES : SMALL_BYTES);
      Thread.sleep(PAUSE_MILLIS);
    }
    Thread.sleep(REST_MILLIS);
    int served = 0;
    int servedByOther = 0;
    for (int number = 0; number < TRIES; number++) {
      served += writesAt(lab, proxy) ? 1 : 0;
      servedByOther += writesAt(lab, other) ? 1 : 0;
      Thread.sleep(500);
    }
    journal.say(
        "small writes served by "
            + proxy.name
            + " later: "
            + served
            + " of "
            + TRIES
            + "; by "
            + other.name
            + ": "
            + servedByOther
            + " of "
            + TRIES
            + "; "
            + proxy.name
            + " runs: "
            + proxy.isAlive()
            + ", reports itself ready: "
            + Lab.isReady(proxy));
    if (servedByOther < TRIES) {
      throw new Lab.CannotRun("the service itself does not serve writes");
    }
    return served > 0;
  }

  /** Lets clients of a proxy write statements of a size, each in a session of its own. */
  private static void write(Lab lab, Proxy proxy, int bytes) throws InterruptedException {
    String data = "x".repeat(bytes);
    AtomicInteger done = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger ended = new AtomicInteger();
    long until = lab.journal.now() + BURST_MILLIS;
    lab.journal.say(CLIENTS + " clients of " + proxy.name + " write statements of " + bytes);
    List<Thread> threads = new ArrayList<>();
    for (int number = 0; number < CLIENTS; number++) {
      String name = "client-" + number;
      Runnable work =
          () -> {
            while (lab.journal.now() < until) {
              try (Client client = lab.client(name, proxy, Lab.PRIMARY_DATABASE)) {
                while (lab.journal.now() < until) {
                  boolean ok = client.query("WRITE item-" + name + " " + data).ok();
                  (ok ? done : refused).incrementAndGet();
                  Store.pause(100);
                }
              } catch (IOException closed) {
                ended.incrementAndGet();
                Store.pause(200);
              }
            }
          };
      threads.add(Thread.ofVirtual().start(work));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    lab.journal.say(
        "all of them have left; writes done: "
            + done
            + ", answered with an error: "
            + refused
            + ", sessions that the proxy ended: "
            + ended);
  }

  private static boolean writesAt(Lab lab, Proxy proxy) {
    try (Client client = lab.client("at " + proxy.name, proxy, Lab.PRIMARY_DATABASE)) {
      return client.query("WRITE item small").ok();
    } catch (IOException closed) {
      return false;
    }
  }
}
