/** Measures the ordering of list versions and the load on the store at the end of an outage. */
package org.mimosacleat.lab.measure.lists;
