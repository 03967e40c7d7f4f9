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

/** Runs chains of commands from one seed, and returns the first violation with its commands. */
final class Fuzz {
  static final long SEED = Long.getLong("fuzz.seed", 20_261_204L);
  static final int TRIES = Integer.getInteger("fuzz.tries", 400);
  private static final int SIZE = 1000;

  private Fuzz() {}

  /** Returns the first violation that starts with {@code kind}. */
  static <W> Optional<String> firstViolation(
      ActionChainArbitrary<W> chains, Function<W, List<String>> violations, String kind) {
    return chains.generator(SIZE).stream(new Random(SEED))
        .limit(TRIES)
        .map(Shrinkable::value)
        .flatMap(chain -> violation(chain, violations, kind).stream())
        .findFirst();
  }

  /** Prints what a fuzz did, with its seed. */
  static void print(String name, Object result) {
    System.out.println("fuzz of " + name + ": seed " + SEED + ", " + TRIES + " tries, " + result);
  }

  /** Prints which violation a mutant was caught by. */
  static void printMutant(Object mutant, Optional<String> found) {
    String line = found.flatMap(text -> text.lines().findFirst()).orElse("not caught");
    System.out.println("mutant " + mutant + ": " + line);
  }

  /** Makes a command that takes a number below {@code count}. */
  static <W> Action.Independent<W> command(String name, int count, Command<W> effect) {
    return () ->
        number(count).map(n -> Transformer.mutate(name + " " + n, world -> effect.run(world, n)));
  }

  /** Makes an arbitrary number below {@code count}. */
  static Arbitrary<Integer> number(int count) {
    return Arbitraries.integers().between(0, count - 1);
  }

  private static <W> Optional<String> violation(
      ActionChain<W> chain, Function<W, List<String>> violations, String kind) {
    W world = chain.run();
    return violations.apply(world).stream()
        .filter(violation -> violation.startsWith(kind))
        .findFirst()
        .map(violation -> violation + "\n" + String.join("\n", chain.transformations()));
  }

  /** A command on a world. */
  interface Command<W> {
    void run(W world, int number);
  }
}
