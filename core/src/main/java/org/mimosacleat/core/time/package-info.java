/** Clocks. Decision logic reads the time only from an injected {@link java.time.InstantSource}. */
package org.mimosacleat.core.time;
