/** Checks of arguments, with messages that name the value. */
package org.mimosacleat.core.check;
