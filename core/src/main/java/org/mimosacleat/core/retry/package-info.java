/** Whether a failed request is sent again, within a budget and the caller's deadline. */
package org.mimosacleat.core.retry;
