/** The binary {@code mimosacleatctl}, for operators. */
package org.mimosacleat.control;
