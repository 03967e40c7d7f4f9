package org.mimosacleat.core.promotion;

import java.util.List;

/**
 * Watches the primary of one group for the group's home, and replaces it.
 *
 * <p>The home gives it every input, one at a time, and carries out the actions of each step in
 * their order. The machine does nothing while this VM is not the home.
 */
public interface PromotionMachine {
  /** Takes one input and returns what has to be done about it. */
  List<PromotionAction> step(PromotionInput input);
}
