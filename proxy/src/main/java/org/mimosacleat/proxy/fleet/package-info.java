/** This proxy among the others: members, lists, and the shares of customers. */
package org.mimosacleat.proxy.fleet;
