/** Sends each batch to the home of its group, on this proxy or another. */
package org.mimosacleat.proxy.dispatch;
