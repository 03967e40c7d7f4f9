/** Reports of measurements as text, JSON and plots. */
package org.mimosacleat.lab.report;
