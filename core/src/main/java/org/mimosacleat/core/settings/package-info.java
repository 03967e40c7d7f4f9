/**
 * Settings: parsing of INI text, validation against a schema of sections and keys, typed values.
 */
package org.mimosacleat.core.settings;
