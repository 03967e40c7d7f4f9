package org.mimosacleat.lab.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.lab.measure.Reading;

/** Measures the cost of session positions for the home of a group. */
final class SessionCost {
  private static final List<Integer> TABLE_SLOTS = List.of(1 << 12, 1 << 16, 1 << 20);
  private static final int OPERATIONS = 2_000_000;

  private final List<Reading> readings = new ArrayList<>();
  private final List<LinearFit.Point> memoryPoints = new ArrayList<>();
  private double nanosecondsPerOperation;

  List<Reading> measure() {
    for (int slots : TABLE_SLOTS) {
      double bytes = Heap.bytesOf(() -> new SessionPositionTable(slots));
      memoryPoints.add(new LinearFit.Point(slots, bytes));
      measureOperations(slots);
    }
    double bytesPerSession = LinearFit.fit(memoryPoints).slope();
    readings.add(new Reading("memory of a session", "slope", "bytes", bytesPerSession, ""));
    return readings;
  }

  double nanosecondsPerStatement() {
    return nanosecondsPerOperation;
  }

  double megabytes(double sessions) {
    return LinearFit.fit(memoryPoints).slope() * sessions / 1e6;
  }

  private void measureOperations(int slots) {
    SessionPositionTable table = new SessionPositionTable(slots);
    table.setFloor(Position.NONE);
    SessionId[] sessions = new SessionId[slots];
    for (int session = 0; session < slots; session++) {
      sessions[session] = new SessionId("session-" + session);
    }
    runOperations(table, sessions);
    long start = ProcessorTime.now();
    runOperations(table, sessions);
    nanosecondsPerOperation = (ProcessorTime.now() - start) / (double) OPERATIONS;
    String variant = slots + " sessions";
    readings.add(
        new Reading("position read or written", variant, "ns", nanosecondsPerOperation, ""));
  }

  private static void runOperations(SessionPositionTable table, SessionId[] sessions) {
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
