/** Serial execution of tasks. */
package org.mimosacleat.proxy.concurrent;
