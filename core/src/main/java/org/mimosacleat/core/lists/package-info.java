/**
 * The two lists that operators edit: the plan of each customer and the allowance of each plan.
 * Includes parsing, validation, versions and differences.
 */
package org.mimosacleat.core.lists;
