package org.mimosacleat.core.promotion;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.position.Position;

/** A deliberately faulty machine that promotes after one fence instead of a majority. */
final class SingleFenceStateMachine implements PromotionStateMachine {
  private final PromotionStateMachine delegate;

  SingleFenceStateMachine(PromotionStateMachine delegate) {
    this.delegate = delegate;
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    List<PromotionAction> actions = new ArrayList<>(delegate.step(input));
    if (input instanceof PromotionInput.FenceAnswered response) {
      PromotionSimulation.MEMBERS.stream()
          .filter(member -> !member.equals(response.endpoint()))
          .map(
              member ->
                  new PromotionInput.FenceAnswered(
                      member, response.asked(), response.fencedAt(), Position.NONE))
          .forEach(forged -> actions.addAll(delegate.step(forged)));
    }
    return actions;
  }
}
