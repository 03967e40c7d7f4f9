/** Which callers may use a route, and for which team their statements run. */
package org.mimosacleat.serving.access;
