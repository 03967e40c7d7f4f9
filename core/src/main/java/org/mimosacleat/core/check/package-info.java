/** Argument checks whose messages contain the rejected value. */
package org.mimosacleat.core.check;
