/** Assembles a proxy from its components, and starts and stops them in order. */
package org.mimosacleat.proxy.node;
