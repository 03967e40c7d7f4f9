package org.mimosacleat.lab.measure.credit;

import java.util.Optional;
import java.util.SplittableRandom;
import org.mimosacleat.core.credit.LedgerAction;
import org.mimosacleat.core.credit.LedgerInput;
import org.mimosacleat.core.credit.LedgerRow;

/** An in-memory ledger that loses one of ten answers and can be made unavailable. */
final class LossyLedger {
  private static final int ANSWERS_PER_LOSS = 10;

  private final SplittableRandom random;
  private LedgerRow latest;
  private boolean down;

  LossyLedger(SplittableRandom random) {
    this.random = random;
  }

  void setDown(boolean down) {
    this.down = down;
  }

  LedgerInput perform(LedgerAction action) {
    if (down) {
      return new LedgerInput.Unanswered();
    }
    LedgerInput answer =
        switch (action) {
          case LedgerAction.Read read -> new LedgerInput.RowRead(Optional.ofNullable(latest));
          case LedgerAction.Write write -> write(write.row());
        };
    return random.nextInt(ANSWERS_PER_LOSS) == 0 ? new LedgerInput.Unanswered() : answer;
  }

  private LedgerInput write(LedgerRow row) {
    long before = latest == null ? 0 : latest.sequence();
    if (row.sequence() != before + 1) {
      return new LedgerInput.Conflict();
    }
    latest = row;
    return new LedgerInput.Written();
  }
}
