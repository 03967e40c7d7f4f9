/** The status that a proxy reports to operators: lists in use, primaries, and recent decisions. */
package org.mimosacleat.core.status;
