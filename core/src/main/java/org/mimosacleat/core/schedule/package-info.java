/**
 * Scheduling of waiting statements on the endpoints of a group by the group's home, so that short
 * statements do not wait behind long ones and long ones are not starved.
 */
package org.mimosacleat.core.schedule;
