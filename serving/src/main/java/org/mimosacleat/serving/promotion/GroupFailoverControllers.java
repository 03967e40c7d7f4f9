package org.mimosacleat.serving.promotion;

import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.routing.GroupListener;
import org.mimosacleat.serving.routing.PrimarySuspicionListener;

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
  public void recordChanged(GroupId group) {
    controller(group).wake();
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
   * Follows a claim that another proxy has sent directly, and stops using the primary.
   *
   * @return whether the primary was fenced
   */
  public boolean stopUsingPrimary(RecordedPrimary claim) {
    dependencies.records().put(claim);
    return controller(claim.record().group()).stopUsingPrimaryNow(claim);
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
