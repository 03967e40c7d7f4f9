/** Routing of statements to the primary or to a replica that is proven to be fresh enough. */
package org.mimosacleat.core.routing;
