/** Immutable snapshots of the state of a database group, used for decisions about requests. */
package org.mimosacleat.core.group;
