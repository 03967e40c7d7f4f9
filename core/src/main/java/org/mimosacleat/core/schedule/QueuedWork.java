package org.mimosacleat.core.schedule;

/** The state of one statement in the scheduler, from its submission to its end. */
final class QueuedWork {
  enum State {
    WAITING,
    RUNNING,
    ENDED
  }

  final Ticket ticket;
  final Work work;
  final WorkClass workClass;
  final long costNanoseconds;
  final long submittedAt;
  final long latestStart;
  double startTag;
  State state = State.WAITING;
  EndpointSlots endpoint;
  long startedAt;
  boolean countsAsLong;
  boolean onReservedSlot;
  boolean longRunRecorded;

  QueuedWork(
      Ticket ticket,
      Work work,
      WorkClass workClass,
      long costNanoseconds,
      long submittedAt,
      long latestStart) {
    this.ticket = ticket;
    this.work = work;
    this.workClass = workClass;
    this.costNanoseconds = costNanoseconds;
    this.submittedAt = submittedAt;
    this.latestStart = latestStart;
  }

  boolean isWaiting() {
    return state == State.WAITING;
  }
}
