package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.lab.measure.Reading;

/** What the position of a session costs the home of its group. */
final class SessionSlope {
  private static final List<Integer> SLOTS = List.of(1 << 12, 1 << 16, 1 << 20);
  private static final int OPERATIONS = 2_000_000;

  private final List<Reading> readings = new ArrayList<>();
  private final List<Slope.Point> memory = new ArrayList<>();
  private double nanoseconds;

  List<Reading> measure() {
    for (int slots : SLOTS) {
      double bytes = Heap.bytesOf(() -> new SessionPositionTable(slots));
      memory.add(new Slope.Point(slots, bytes));
      measureOperations(slots);
    }
    double each = Slope.fit(memory).perUnit();
    readings.add(new Reading("memory of a session", "slope", "bytes", each, ""));
    return readings;
  }

  double nanosecondsPerStatement() {
    return nanoseconds;
  }

  double megabytes(double sessions) {
    return Slope.fit(memory).perUnit() * sessions / 1e6;
  }

  private void measureOperations(int slots) {
    SessionPositionTable table = new SessionPositionTable(slots);
    table.setFloor(Position.NONE);
    SessionId[] sessions = new SessionId[slots];
    for (int session = 0; session < slots; session++) {
      sessions[session] = new SessionId("session-" + session);
    }
    run(table, sessions);
    long start = ProcessorTime.now();
    run(table, sessions);
    nanoseconds = (ProcessorTime.now() - start) / (double) OPERATIONS;
    String variant = slots + " sessions";
    readings.add(new Reading("position read or written", variant, "ns", nanoseconds, ""));
  }

  private static void run(SessionPositionTable table, SessionId[] sessions) {
    Term term = Term.FIRST;
    for (int operation = 0; operation < OPERATIONS; operation++) {
      SessionId session = sessions[operation * 7919 & (sessions.length - 1)];
      if (operation % 4 == 0) {
        table.recordAcknowledgedWrite(session, new Position(term, new LogPosition(operation)));
      } else {
        table.required(session);
      }
    }
  }
}
