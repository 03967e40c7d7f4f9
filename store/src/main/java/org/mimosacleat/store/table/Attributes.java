package org.mimosacleat.store.table;

import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The attributes of a row, each with a name and a text value. Build them with {@link #with}, read
 * them with {@link #text}, {@link #number} and {@link #instant}.
 *
 * @param texts the text of each attribute, by name
 */
public record Attributes(Map<String, String> texts) {
  /** The empty set of attributes. */
  public static final Attributes NONE = new Attributes(Map.of());

  /** Copies the map. */
  public Attributes {
    texts = Collections.unmodifiableMap(new TreeMap<>(texts));
  }

  /** Returns a copy with one attribute set to a text. */
  public Attributes with(String name, String text) {
    Map<String, String> changed = new TreeMap<>(texts);
    changed.put(name, text);
    return new Attributes(changed);
  }

  /** Returns a copy with one attribute set to a number. */
  public Attributes with(String name, long number) {
    return with(name, Long.toString(number));
  }

  /** Returns a copy with one attribute set to an instant. */
  public Attributes with(String name, Instant instant) {
    return with(name, instant.toString());
  }

  /** Returns the text of an attribute; empty if the row does not have it. */
  public Optional<String> find(String name) {
    return Optional.ofNullable(texts.get(name));
  }

  /**
   * Returns the text of an attribute.
   *
   * @throws IllegalArgumentException if the row does not have it
   */
  public String text(String name) {
    return find(name)
        .orElseThrow(
            () -> new IllegalArgumentException("no attribute '" + name + "' in " + texts.keySet()));
  }

  /**
   * Returns an attribute as an integer.
   *
   * @throws IllegalArgumentException if the row does not have it or it is not an integer
   */
  public long number(String name) {
    return Long.parseLong(text(name));
  }

  /**
   * Returns an attribute as an instant.
   *
   * @throws IllegalArgumentException if the row does not have it
   * @throws java.time.DateTimeException if it is not an ISO-8601 instant
   */
  public Instant instant(String name) {
    return Instant.parse(text(name));
  }
}
