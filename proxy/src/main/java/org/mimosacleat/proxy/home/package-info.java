/**
 * The home of a group: it holds the connections to the group's endpoints, monitors them, promotes
 * replicas, and runs the batches that entry proxies send.
 */
package org.mimosacleat.proxy.home;
