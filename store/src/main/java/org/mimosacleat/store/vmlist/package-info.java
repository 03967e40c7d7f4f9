/** Reads the platform's VM list, which contains the VMs and endpoints. */
package org.mimosacleat.store.vmlist;
