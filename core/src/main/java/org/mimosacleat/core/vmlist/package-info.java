/** The platform's list of VMs and endpoints, which lags behind their actual state. */
package org.mimosacleat.core.vmlist;
