/** The command line of the demonstration and the measurements. */
package org.mimosacleat.lab.command;
