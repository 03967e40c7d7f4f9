package org.mimosacleat.core.promotion;

import java.util.List;
import org.mimosacleat.core.position.Position;

/** A deliberately faulty machine that ignores log positions when it selects a candidate. */
final class PositionIgnoringMachine implements PromotionStateMachine {
  private final PromotionStateMachine delegate;

  PositionIgnoringMachine(PromotionStateMachine delegate) {
    this.delegate = delegate;
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    if (input instanceof PromotionInput.FenceAnswered answer) {
      return delegate.step(
          new PromotionInput.FenceAnswered(
              answer.endpoint(), answer.asked(), answer.fencedAt(), Position.NONE));
    }
    return delegate.step(input);
  }
}
