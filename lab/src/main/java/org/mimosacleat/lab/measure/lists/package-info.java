/** Measurements of how list versions are ordered and of the return of the store. */
package org.mimosacleat.lab.measure.lists;
