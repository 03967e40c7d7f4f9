/** The measure command: experiments on the decisions, each with its baselines in the same run. */
package org.mimosacleat.lab.measure;
