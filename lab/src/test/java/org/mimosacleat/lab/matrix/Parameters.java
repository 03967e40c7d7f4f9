package org.mimosacleat.lab.matrix;

import io.cucumber.java.ParameterType;

/** The words in the tables of the matrix. */
public final class Parameters {
  /** A moment of a write. */
  @ParameterType(
      "is about to be sent|is on its way to the primary|has run on the primary"
          + "|waits for its confirmation|has been answered")
  public String write(String words) {
    return words;
  }

  /** A moment of a promotion. */
  @ParameterType("is not decided yet|has started a term|has chosen the next primary|serves")
  public String promotion(String words) {
    return words;
  }

  /** A moment of a change of home. */
  @ParameterType("is not noticed yet|has written the row|has the token accepted|serves")
  public String change(String words) {
    return words;
  }

  /** A moment of a list change. */
  @ParameterType("is about to be written|is written|has reached one proxy|is in force everywhere")
  public String edit(String words) {
    return words;
  }

  /** A moment of a debit. */
  @ParameterType("has not begun|is in force|has used up its period")
  public String debit(String words) {
    return words;
  }

  /** A moment of a drain. */
  @ParameterType("has not begun|holds new work back|has handed over|has stopped accepting")
  public String drain(String words) {
    return words;
  }

  /** A fault, or several joined by "and". */
  @ParameterType("[a-z -]+")
  public String fault(String words) {
    return words;
  }
}
