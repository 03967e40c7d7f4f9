package org.mimosacleat.core.settings;

/** How often a section stands in a text, and whether its header carries a name. */
public enum SectionForm {
  /** {@code [listen]}, at most once; without it all its keys have their defaults. */
  SINGLE,
  /** {@code [group lending-1]}, any number of times, each time with another name. */
  NAMED
}
