/** Decides which endpoint a statement goes to. */
package org.mimosacleat.serving.routing;
