package org.mimosacleat.lab.fuzz;

/** How much of what matters a fuzz has reached, so that an idle fuzz shows. */
record Reached(int acknowledged, int refused, int unknown, int reads, int promotions, int homes) {
  static final Reached NOTHING = new Reached(0, 0, 0, 0, 0, 0);

  Reached plus(Reached other) {
    return new Reached(
        acknowledged + other.acknowledged,
        refused + other.refused,
        unknown + other.unknown,
        reads + other.reads,
        promotions + other.promotions,
        homes + other.homes);
  }
}
