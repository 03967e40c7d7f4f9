/**
 * The operators' two lists: which customer has which plan, and what each plan may use. Their text,
 * their checks, their versions and their differences.
 */
package org.mimosacleat.core.lists;
