package org.mimosacleat.core.credit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** An in-memory ledger that can be down, lose responses and apply writes late. */
final class FakeLedger {
  private final RandomGenerator random;
  private final List<LedgerRow> lateWrites = new ArrayList<>();
  private LedgerRow latest;
  boolean down;
  double lossProbability = 0.2;

  FakeLedger(RandomGenerator random) {
    this.random = random;
  }

  LedgerInput perform(LedgerAction action) {
    if (down) {
      return new LedgerInput.Unanswered();
    }
    return switch (action) {
      case LedgerAction.Read read -> deliver(new LedgerInput.RowRead(Optional.ofNullable(latest)));
      case LedgerAction.Write write -> write(write.row());
    };
  }

  /** Applies the writes that were still pending when they were reported as not answered. */
  void applyLateWrites() {
    lateWrites.forEach(this::apply);
    lateWrites.clear();
  }

  private LedgerInput write(LedgerRow row) {
    if (random.nextDouble() < lossProbability / 2) {
      lateWrites.add(row);
      return new LedgerInput.Unanswered();
    }
    return deliver(apply(row) ? new LedgerInput.Written() : new LedgerInput.Conflict());
  }

  private boolean apply(LedgerRow row) {
    long sequence = latest == null ? 0 : latest.sequence();
    if (row.sequence() != sequence + 1) {
      return false;
    }
    latest = row;
    return true;
  }

  private LedgerInput deliver(LedgerInput deliver) {
    return random.nextDouble() < lossProbability ? new LedgerInput.Unanswered() : deliver;
  }
}
