/** Operating system integration of the proxy process. */
package org.mimosacleat.serving.process;
