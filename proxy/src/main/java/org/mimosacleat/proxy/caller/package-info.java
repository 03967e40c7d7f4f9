/** The side of the clients: logging in, reading batches, and answering them. */
package org.mimosacleat.proxy.caller;
