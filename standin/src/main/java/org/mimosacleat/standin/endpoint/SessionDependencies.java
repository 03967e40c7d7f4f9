package org.mimosacleat.standin.endpoint;

/**
 * The objects that the sessions of one instance share.
 *
 * @param state the log, the role and the fence
 * @param locks the table locks
 * @param slots the slots
 * @param faults the injected faults
 * @param closeFencedSessions closes the connections that a later home has fenced
 * @param wakeReplicators notifies the replicators that the log has grown
 */
record SessionDependencies(
    InstanceState state,
    TableLocks locks,
    SlotPool slots,
    InstanceFaults faults,
    Runnable closeFencedSessions,
    Runnable wakeReplicators) {}
