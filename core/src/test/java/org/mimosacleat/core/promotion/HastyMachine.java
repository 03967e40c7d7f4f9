package org.mimosacleat.core.promotion;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.position.Position;

/** A wrong machine: it promotes after one fence instead of a majority. */
final class HastyMachine implements PromotionMachine {
  private final PromotionMachine machine;

  HastyMachine(PromotionMachine machine) {
    this.machine = machine;
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    List<PromotionAction> actions = new ArrayList<>(machine.step(input));
    if (input instanceof PromotionInput.FenceAnswered answer) {
      PromotionOracle.MEMBERS.stream()
          .filter(member -> !member.equals(answer.endpoint()))
          .map(
              member ->
                  new PromotionInput.FenceAnswered(
                      member, answer.asked(), answer.fencedAt(), Position.NONE))
          .forEach(forged -> actions.addAll(machine.step(forged)));
    }
    return actions;
  }
}
