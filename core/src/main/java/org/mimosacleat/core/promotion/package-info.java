/**
 * Replaces the primary of a group: suspects it, fences the endpoints, selects a candidate and
 * promotes it. One {@link org.mimosacleat.core.promotion.PromotionStateMachine} per group runs at
 * the group's home.
 */
package org.mimosacleat.core.promotion;
