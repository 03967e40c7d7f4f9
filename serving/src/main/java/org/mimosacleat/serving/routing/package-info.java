/** Chooses the endpoint that a statement is sent to. */
package org.mimosacleat.serving.routing;
