package org.mimosacleat.standin.endpoint;

/**
 * What the sessions of one instance share.
 *
 * @param state the log, the role and the fence
 * @param locks the table locks
 * @param slots the slots
 * @param faults the failures that are switched on
 * @param breakOffFenced ends the connections that a later home has fenced
 * @param wakeFollowers tells the followers that the log has grown
 */
record InstanceParts(
    InstanceState state,
    TableLocks locks,
    SlotPool slots,
    Faults faults,
    Runnable breakOffFenced,
    Runnable wakeFollowers) {}
