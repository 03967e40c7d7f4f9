package org.mimosacleat.core.admission;

import java.time.Instant;
import java.time.InstantSource;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;

/**
 * One home's share of one resource of one customer.
 *
 * <p>Send {@link #report} to the coordinator at a steady interval and pass each answer to {@link
 * #accept}. The share stays as it is while no coordinator answers. Only the answer to the latest
 * report counts, and after a change of coordinator the share is not raised for {@link
 * ShareCoordinator#REPORT_LIFETIME}, so that what the earlier coordinator believes stays an upper
 * bound until it is forgotten. Not safe for several threads.
 */
public final class ShareHolder {
  private final CustomerId customer;
  private final Resource resource;
  private final VmId holder;
  private final InstantSource clock;
  private VmId coordinator;
  private Instant noRaiseBefore = Instant.MIN;
  private long echo = ShareReport.NO_ECHO;
  private long sequence;
  private boolean answered = true;
  private long held;

  /** Starts with nothing held. */
  public ShareHolder(CustomerId customer, Resource resource, VmId holder, InstantSource clock) {
    this.customer = customer;
    this.resource = resource;
    this.holder = holder;
    this.clock = clock;
    this.sequence = clock.millis();
  }

  /** Returns the next report; answers to earlier ones are ignored from now on. */
  public ShareReport report(VmId to, long demand) {
    if (!to.equals(coordinator)) {
      changeCoordinator(to);
    }
    sequence++;
    answered = false;
    return new ShareReport(customer, resource, holder, to, echo, sequence, held, demand);
  }

  /** Applies an answer to the latest report; returns false if the share stays as it was. */
  public boolean accept(ShareGrant grant) {
    boolean latest = grant.coordinator().equals(coordinator) && grant.sequence() == sequence;
    if (answered || !latest) {
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

  /** Returns the units that this home admits by. */
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
