/** Clocks: all decisions read time from a {@link java.time.InstantSource} given to them. */
package org.mimosacleat.core.time;
