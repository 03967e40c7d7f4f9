/** The platform's object store: texts under keys, with entity tags and conditional puts. */
package org.mimosacleat.store.object;
