/** The command line mimosacleatctl: the operators' lists, the status of proxies, settings. */
package org.mimosacleat.control;
