package org.mimosacleat.lab.measure.credit;

import java.util.Optional;
import java.util.SplittableRandom;
import org.mimosacleat.core.credit.LedgerAction;
import org.mimosacleat.core.credit.LedgerInput;
import org.mimosacleat.core.credit.LedgerRow;

/** A ledger in memory that loses one answer of ten and can be down. */
final class LossyLedger {
  private static final int LOSS_ONE_OF = 10;

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
    return random.nextInt(LOSS_ONE_OF) == 0 ? new LedgerInput.Unanswered() : answer;
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
