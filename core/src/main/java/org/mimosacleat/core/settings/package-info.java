/** Checked settings: INI text, a schema of sections and keys, and typed values. */
package org.mimosacleat.core.settings;
