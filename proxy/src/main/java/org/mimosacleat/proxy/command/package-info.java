/** The command line interface of {@code mimosacleat}. */
package org.mimosacleat.proxy.command;
