package org.mimosacleat.core.promotion;

import java.util.List;
import org.mimosacleat.core.position.Position;

/** A deliberately faulty machine that ignores log positions when it selects a candidate. */
final class PositionIgnoringStateMachine implements PromotionStateMachine {
  private final PromotionStateMachine delegate;

  PositionIgnoringStateMachine(PromotionStateMachine delegate) {
    this.delegate = delegate;
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    if (input instanceof PromotionInput.FenceAnswered response) {
      return delegate.step(
          new PromotionInput.FenceAnswered(
              response.endpoint(), response.asked(), response.fencedAt(), Position.NONE));
    }
    return delegate.step(input);
  }
}
