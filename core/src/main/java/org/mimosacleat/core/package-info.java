/**
 * The decisions of the proxy as pure code: no input or output, no threads of its own; time and
 * randomness come in through constructors.
 */
package org.mimosacleat.core;
