package org.mimosacleat.lab.matrix;

import io.cucumber.java.en.Then;

/** Cells of the matrix that cannot occur. */
public final class NotApplicableSteps {
  /** The reason stands in the report. */
  @Then("this cannot occur, because {}")
  public void cannotOccur(String reason) {
    if (reason.isBlank()) {
      throw new IllegalArgumentException("a cell that does not apply needs a reason");
    }
  }
}
