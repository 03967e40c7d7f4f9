/** The command-line tool mimosacleatctl: edits the operators' lists and shows proxy status. */
package org.mimosacleat.control;
