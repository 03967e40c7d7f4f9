package org.mimosacleat.lab.matrix;

import io.cucumber.java.ParameterType;

/** Parameter types for the phrases in the tables of the fault matrix. */
public final class Parameters {
  /** A moment of a write. */
  @ParameterType(
      "is about to be sent|is in flight to the primary|has run on the primary"
          + "|awaits its confirmation|has been answered")
  public String write(String phrase) {
    return phrase;
  }

  /** A moment of a promotion. */
  @ParameterType("has not been decided|has started a term|has chosen the next primary|serves")
  public String promotion(String phrase) {
    return phrase;
  }

  /** A moment of a change of home. */
  @ParameterType("has not been detected|has written the row|has its token accepted|serves")
  public String change(String phrase) {
    return phrase;
  }

  /** A moment of a list change. */
  @ParameterType("is about to be written|is written|has reached one proxy|is in force everywhere")
  public String edit(String phrase) {
    return phrase;
  }

  /** A moment of a debit. */
  @ParameterType("has not begun|is in force|has used up its period")
  public String debit(String phrase) {
    return phrase;
  }

  /** A moment of a drain. */
  @ParameterType("has not begun|holds new requests|has handed over|has stopped accepting")
  public String drain(String phrase) {
    return phrase;
  }

  /** A fault, or several joined by "and". */
  @ParameterType("[a-z -]+")
  public String fault(String phrase) {
    return phrase;
  }
}
