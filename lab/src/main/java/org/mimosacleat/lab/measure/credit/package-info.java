/** The experiment on the pace at which credits are spent. */
package org.mimosacleat.lab.measure.credit;
