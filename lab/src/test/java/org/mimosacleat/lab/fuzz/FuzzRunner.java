package org.mimosacleat.lab.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** Runs random command chains from one seed and returns the first violation with its commands. */
final class FuzzRunner {
  static final long SEED = Long.getLong("fuzz.seed", 20_261_204L);
  static final int TRIES = Integer.getInteger("fuzz.tries", 400);
  private static final int GENERATOR_SIZE = 1000;

  private FuzzRunner() {}

  /** Returns the first violation that starts with {@code prefix}. */
  static <S> Optional<String> firstViolation(
      ActionChainArbitrary<S> chains, Function<S, List<String>> violations, String prefix) {
    return chains.generator(GENERATOR_SIZE).stream(new Random(SEED))
        .limit(TRIES)
        .map(Shrinkable::value)
        .flatMap(chain -> violation(chain, violations, prefix).stream())
        .findFirst();
  }

  /** Prints the result of a fuzz run with its seed. */
  static void print(String name, Object result) {
    System.out.println("fuzz of " + name + ": seed " + SEED + ", " + TRIES + " tries, " + result);
  }

  /** Prints the violation by which a mutant was caught. */
  static void printMutant(Object mutant, Optional<String> violation) {
    String line = violation.flatMap(text -> text.lines().findFirst()).orElse("not caught");
    System.out.println("mutant " + mutant + ": " + line);
  }

  /** Creates a command with a random number below {@code bound} as its argument. */
  static <S> Action.Independent<S> command(String name, int bound, Command<S> effect) {
    return () ->
        number(bound)
            .map(n -> Transformer.mutate(name + " " + n, simulation -> effect.run(simulation, n)));
  }

  /** Creates a generator of numbers from 0 to {@code bound - 1}. */
  static Arbitrary<Integer> number(int bound) {
    return Arbitraries.integers().between(0, bound - 1);
  }

  private static <S> Optional<String> violation(
      ActionChain<S> chain, Function<S, List<String>> violations, String prefix) {
    S simulation = chain.run();
    return violations.apply(simulation).stream()
        .filter(violation -> violation.startsWith(prefix))
        .findFirst()
        .map(violation -> violation + "\n" + String.join("\n", chain.transformations()));
  }

  /** A command on a simulation. */
  interface Command<S> {
    void run(S simulation, int number);
  }
}
