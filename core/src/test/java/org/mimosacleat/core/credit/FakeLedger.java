package org.mimosacleat.core.credit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A ledger in memory that can be down, lose answers and apply writes late. */
final class FakeLedger {
  private final RandomGenerator random;
  private final List<LedgerRow> late = new ArrayList<>();
  private LedgerRow latest;
  boolean down;
  double lossShare = 0.2;

  FakeLedger(RandomGenerator random) {
    this.random = random;
  }

  LedgerInput perform(LedgerAction action) {
    if (down) {
      return new LedgerInput.Lost();
    }
    return switch (action) {
      case LedgerAction.Read read -> answer(new LedgerInput.RowRead(Optional.ofNullable(latest)));
      case LedgerAction.Write write -> write(write.row());
    };
  }

  /** Applies the writes that were under way when their answers were given up. */
  void applyLateWrites() {
    late.forEach(this::apply);
    late.clear();
  }

  private LedgerInput write(LedgerRow row) {
    if (random.nextDouble() < lossShare / 2) {
      late.add(row);
      return new LedgerInput.Lost();
    }
    return answer(apply(row) ? new LedgerInput.Written() : new LedgerInput.Conflict());
  }

  private boolean apply(LedgerRow row) {
    long sequence = latest == null ? 0 : latest.sequence();
    if (row.sequence() != sequence + 1) {
      return false;
    }
    latest = row;
    return true;
  }

  private LedgerInput answer(LedgerInput answer) {
    return random.nextDouble() < lossShare ? new LedgerInput.Lost() : answer;
  }
}
