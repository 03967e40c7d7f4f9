package org.mimosacleat.core.settings;

/** How often a section may occur in a text, and whether its header contains a name. */
public enum SectionForm {
  /** {@code [listen]}: at most once. If the section is absent, all its keys have their defaults. */
  SINGLE,
  /** {@code [group lending-1]}: any number of times, each with a different name. */
  NAMED
}
