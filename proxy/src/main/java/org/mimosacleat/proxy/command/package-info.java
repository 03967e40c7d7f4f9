/** The command line of the binary {@code mimosacleat}. */
package org.mimosacleat.proxy.command;
