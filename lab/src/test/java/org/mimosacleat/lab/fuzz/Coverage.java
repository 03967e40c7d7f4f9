package org.mimosacleat.lab.fuzz;

/** Counts of the events that a fuzz run reached, to reveal a run that exercises nothing. */
record Coverage(int acknowledged, int refused, int unknown, int reads, int promotions, int homes) {
  static final Coverage NONE = new Coverage(0, 0, 0, 0, 0, 0);

  Coverage plus(Coverage other) {
    return new Coverage(
        acknowledged + other.acknowledged,
        refused + other.refused,
        unknown + other.unknown,
        reads + other.reads,
        promotions + other.promotions,
        homes + other.homes);
  }
}
