/** Measures the pacing of credits. */
package org.mimosacleat.lab.measure.credit;
