/** Acknowledges writes to clients once enough replicas of the term store them. */
package org.mimosacleat.core.acknowledgement;
