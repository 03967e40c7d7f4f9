package org.mimosacleat.store.table;

import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The attributes of a row, each a text under a name. Build them with {@link #with}, read them with
 * {@link #text}, {@link #number} and {@link #instant}.
 *
 * @param texts the text of each attribute
 */
public record Attributes(Map<String, String> texts) {
  /** No attributes. */
  public static final Attributes NONE = new Attributes(Map.of());

  /** Copies the map. */
  public Attributes {
    texts = Collections.unmodifiableMap(new TreeMap<>(texts));
  }

  /** Returns these attributes with one set to a text. */
  public Attributes with(String name, String text) {
    Map<String, String> changed = new TreeMap<>(texts);
    changed.put(name, text);
    return new Attributes(changed);
  }

  /** Returns these attributes with one set to a number. */
  public Attributes with(String name, long number) {
    return with(name, Long.toString(number));
  }

  /** Returns these attributes with one set to a moment. */
  public Attributes with(String name, Instant instant) {
    return with(name, instant.toString());
  }

  /** Returns an attribute if the row has it. */
  public Optional<String> find(String name) {
    return Optional.ofNullable(texts.get(name));
  }

  /**
   * Returns an attribute.
   *
   * @throws IllegalArgumentException if the row does not have it
   */
  public String text(String name) {
    return find(name)
        .orElseThrow(
            () -> new IllegalArgumentException("no attribute '" + name + "' in " + texts.keySet()));
  }

  /**
   * Returns an attribute as a whole number.
   *
   * @throws IllegalArgumentException if the row does not have it or it is no number
   */
  public long number(String name) {
    return Long.parseLong(text(name));
  }

  /**
   * Returns an attribute as a moment.
   *
   * @throws IllegalArgumentException if the row does not have it
   * @throws java.time.DateTimeException if it is not a moment
   */
  public Instant instant(String name) {
    return Instant.parse(text(name));
  }
}
