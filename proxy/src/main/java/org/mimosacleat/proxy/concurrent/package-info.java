/** Ways to run tasks one after the other. */
package org.mimosacleat.proxy.concurrent;
