package org.mimosacleat.lab.matrix;

import io.cucumber.java.en.Then;

/** Step definition for the cells of the fault matrix that cannot occur. */
public final class NotApplicableSteps {
  /** Checks that a reason is given, which the report shows in the name of the cell. */
  @Then("this cannot occur, because {}")
  public void cannotOccur(String reason) {
    if (reason.isBlank()) {
      throw new IllegalArgumentException("a cell that does not apply needs a reason");
    }
  }
}
