/** What a proxy tells operators about itself: what is in force, who leads, and why. */
package org.mimosacleat.core.status;
