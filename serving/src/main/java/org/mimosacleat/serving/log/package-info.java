/** Log lines as JSON on standard output. */
package org.mimosacleat.serving.log;
