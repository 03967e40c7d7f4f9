/**
 * Replacing the primary of a group: suspicion, fence, choice, promotion. One {@link
 * org.mimosacleat.core.promotion.PromotionMachine} a group runs at the group's home.
 */
package org.mimosacleat.core.promotion;
