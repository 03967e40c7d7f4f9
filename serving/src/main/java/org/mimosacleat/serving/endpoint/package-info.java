/** Connections to endpoints, and the pools that share them between sessions. */
package org.mimosacleat.serving.endpoint;
