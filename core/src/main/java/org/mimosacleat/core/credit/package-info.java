/**
 * The pace at which provider credits may be spent on VMs and connections, so that they last until
 * they expire, and the ledger that every spending is reserved in first.
 */
package org.mimosacleat.core.credit;
