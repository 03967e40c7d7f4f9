/** Stand-ins for external systems and hand-written fakes; no binary uses them on its main path. */
package org.mimosacleat.standin;
