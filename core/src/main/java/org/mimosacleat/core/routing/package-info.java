/** Where a statement goes: to the primary, to a replica that is proven fresh enough, or nowhere. */
package org.mimosacleat.core.routing;
