/** What a process of the proxy needs of its runtime. */
package org.mimosacleat.serving.process;
