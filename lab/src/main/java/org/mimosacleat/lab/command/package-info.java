/** The command line of the demonstrations and measurements. */
package org.mimosacleat.lab.command;
