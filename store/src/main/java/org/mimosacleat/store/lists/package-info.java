/** Stores and reads the versions of the lists of plans and allowances that operators edit. */
package org.mimosacleat.store.lists;
