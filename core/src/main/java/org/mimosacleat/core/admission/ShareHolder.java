package org.mimosacleat.core.admission;

import java.time.Instant;
import java.time.InstantSource;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/**
 * The share that one home holds of one resource of one customer.
 *
 * <p>Send {@link #nextReport} to the coordinator at a regular interval and pass each answer to
 * {@link #accept}. The share does not change while no coordinator answers. Only the answer to the
 * latest report is applied. After a change of coordinator the share is not raised for {@link
 * ShareCoordinator#REPORT_LIFETIME}, so that the units recorded by the previous coordinator remain
 * an upper bound until its records expire. Not thread-safe.
 */
public final class ShareHolder {
  private final TeamId customer;
  private final Resource resource;
  private final VmId holder;
  private final InstantSource clock;
  private VmId coordinator;
  private Instant noRaiseBefore = Instant.MIN;
  private long echo = ShareReport.NO_ECHO;
  private long sequence;
  private boolean answered = true;
  private long held;

  /** Creates a holder with a share of zero. */
  public ShareHolder(TeamId customer, Resource resource, VmId holder, InstantSource clock) {
    this.customer = customer;
    this.resource = resource;
    this.holder = holder;
    this.clock = clock;
    this.sequence = clock.millis();
  }

  /** Returns the next report; answers to earlier reports are ignored from then on. */
  public ShareReport nextReport(VmId to, long demand) {
    if (!to.equals(coordinator)) {
      changeCoordinator(to);
    }
    sequence++;
    answered = false;
    return new ShareReport(customer, resource, holder, to, echo, sequence, held, demand);
  }

  /** Applies an answer to the latest report; returns false if the answer is not applied. */
  public boolean accept(ShareGrant grant) {
    boolean answersLatestReport =
        grant.coordinator().equals(coordinator) && grant.sequence() == sequence;
    if (answered || !answersLatestReport) {
      return false;
    }
    answered = true;
    echo = grant.issued();
    if (grant.units() > held && clock.instant().isBefore(noRaiseBefore)) {
      return false;
    }
    held = grant.units();
    return true;
  }

  /** Returns the units that this home may admit. */
  public long held() {
    return held;
  }

  private void changeCoordinator(VmId to) {
    if (coordinator != null) {
      noRaiseBefore = clock.instant().plus(ShareCoordinator.REPORT_LIFETIME);
    }
    coordinator = to;
    echo = ShareReport.NO_ECHO;
  }
}
