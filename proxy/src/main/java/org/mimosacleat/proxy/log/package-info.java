/** Logs as JSON lines on the standard output, since VMs have no disk. */
package org.mimosacleat.proxy.log;
