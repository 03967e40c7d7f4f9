/** The platform's object store: text objects with keys, entity tags and conditional puts. */
package org.mimosacleat.store.object;
