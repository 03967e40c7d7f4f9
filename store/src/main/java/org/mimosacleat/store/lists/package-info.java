/** Keeps the versions of the operators' lists in the platform's table and object store. */
package org.mimosacleat.store.lists;
