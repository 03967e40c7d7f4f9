/**
 * Pacing of provider credits: limits the spending on VMs and connections so that credits last until
 * they expire, and records a reservation in the ledger before credits are spent.
 */
package org.mimosacleat.core.credit;
