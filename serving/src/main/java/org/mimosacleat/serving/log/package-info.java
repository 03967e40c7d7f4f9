/** Prints log entries as lines of JSON to standard output. */
package org.mimosacleat.serving.log;
