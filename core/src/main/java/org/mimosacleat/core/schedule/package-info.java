/**
 * The order in which the home of a group gives waiting statements to its endpoints, so that short
 * statements do not wait behind long ones and long ones are not starved.
 */
package org.mimosacleat.core.schedule;
