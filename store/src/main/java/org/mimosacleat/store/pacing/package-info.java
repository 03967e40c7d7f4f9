/** What the table service and the object store have in common: write ids and pacing. */
package org.mimosacleat.store.pacing;
