/**
 * Versions of the shared store. The store may come back from an older copy: it then gives out
 * versions again, and each return begins a new era of versions.
 */
package org.mimosacleat.serving.version;
