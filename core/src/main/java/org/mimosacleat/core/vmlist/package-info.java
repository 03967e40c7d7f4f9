/** The platform's list of VMs and endpoints, which lags behind what is the case. */
package org.mimosacleat.core.vmlist;
