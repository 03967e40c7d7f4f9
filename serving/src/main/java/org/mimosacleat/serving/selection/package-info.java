/** Strategies by which a proxy chooses among endpoints that can all run a statement. */
package org.mimosacleat.serving.selection;
