/** Access to the platform's list of VMs and endpoints. */
package org.mimosacleat.store.vmlist;
