package org.mimosacleat.core.promotion;

import java.util.List;
import org.mimosacleat.core.position.Position;

/** A wrong machine: it promotes any of the fenced endpoints, not the most advanced. */
final class PositionBlindMachine implements PromotionMachine {
  private final PromotionMachine machine;

  PositionBlindMachine(PromotionMachine machine) {
    this.machine = machine;
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    if (input instanceof PromotionInput.FenceAnswered answer) {
      return machine.step(
          new PromotionInput.FenceAnswered(
              answer.endpoint(), answer.asked(), answer.fencedAt(), Position.NONE));
    }
    return machine.step(input);
  }
}
