package org.mimosacleat.serving.promotion;

import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.routing.GroupListener;
import org.mimosacleat.serving.routing.PrimarySuspicionListener;
import org.tinylog.Logger;

/** The failover controllers of all groups that have endpoints. */
public final class GroupFailoverControllers implements PrimarySuspicionListener, GroupListener {
  private final FailoverDependencies dependencies;
  private final ConcurrentHashMap<GroupId, GroupFailoverController> controllers =
      new ConcurrentHashMap<>();

  /** Creates the registry; the controller of a group starts when the group becomes known. */
  public GroupFailoverControllers(FailoverDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Triggers an evaluation of the group after its shared record has changed. */
  public void recordChanged(RecordedPrimary recorded) {
    dependencies.access().recordChanged(recorded);
    controller(recorded.record().group()).wake();
  }

  @Override
  public void endpointsChanged(GroupId group) {
    controller(group).wake();
  }

  @Override
  public void suspect(GroupId group, EndpointId primary, String reason) {
    controller(group).suspectPrimary(reason);
  }

  /**
   * Follows a claim that another proxy has sent directly, and stops using the primary. A claim on a
   * record that the store has brought back from an older copy is refused: its primary is a former
   * one, and this proxy may use a later one.
   */
  public StopResult stopUsingPrimary(RecordedPrimary claim) {
    GroupId group = claim.record().group();
    dependencies.records().put(claim);
    if (dependencies.records().knowsLaterThan(claim.record())) {
      Logger.warn(
          "{}: stop for the claim {} refused: a record later than term {}, round {} is known",
          group,
          claim.version(),
          claim.record().term(),
          claim.record().round());
      return StopResult.CLAIM_OUTDATED;
    }
    boolean fenced = controller(group).stopUsingPrimaryNow(claim);
    return fenced ? StopResult.FENCED : StopResult.ABANDONED;
  }

  private GroupFailoverController controller(GroupId group) {
    return controllers.computeIfAbsent(group, this::start);
  }

  private GroupFailoverController start(GroupId group) {
    GroupFailoverController controller = new GroupFailoverController(group, dependencies);
    dependencies.executor().execute(controller);
    return controller;
  }
}
