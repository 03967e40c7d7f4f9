package org.mimosacleat.core.promotion;

import java.util.List;

/**
 * State machine that monitors the primary of one group and replaces it on failure.
 *
 * <p>The group's home passes every input to {@link #step}, one at a time, and executes the returned
 * actions in order. The machine does nothing while this VM is not the home.
 */
public interface PromotionStateMachine {
  /** Processes one input and returns the actions to execute, in order. */
  List<PromotionAction> step(PromotionInput input);
}
