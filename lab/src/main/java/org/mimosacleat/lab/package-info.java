/** The demonstration, the measurements and the proofs that need several modules. */
package org.mimosacleat.lab;
