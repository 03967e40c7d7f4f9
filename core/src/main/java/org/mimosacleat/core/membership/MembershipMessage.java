package org.mimosacleat.core.membership;

import java.util.List;
import org.mimosacleat.core.id.VmId;

/**
 * A message between two membership machines. Each carries the sender's own record, and at most
 * {@value #MAXIMUM_RECORDS} records of others, so that it fits one datagram.
 */
public sealed interface MembershipMessage {
  /** The most records of other VMs that a message carries. */
  int MAXIMUM_RECORDS = 16;

  /** Returns the sender's own record. */
  MemberRecord sender();

  /** Returns records of other VMs. */
  List<MemberRecord> records();

  /**
   * Asks for an acknowledgement.
   *
   * @param sender the sender's own record
   * @param sequence to be repeated in the acknowledgement
   * @param records records of other VMs
   */
  record Ping(MemberRecord sender, long sequence, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Acknowledges a ping, or the ping of a helper.
   *
   * @param sender the sender's own record
   * @param sequence the sequence of the ping
   * @param records records of other VMs
   */
  record Acknowledgement(MemberRecord sender, long sequence, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Asks a helper to ping a VM that did not answer.
   *
   * @param sender the sender's own record
   * @param sequence to be repeated in the acknowledgement
   * @param target the VM to ping
   * @param records records of other VMs
   */
  record IndirectPing(MemberRecord sender, long sequence, VmId target, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Compares one bucket of all records; answered with the bucket's records if it differs.
   *
   * @param sender the sender's own record
   * @param bucket the bucket, from 0
   * @param buckets how many buckets the sender divides its records into
   * @param digest the digest of the sender's records in the bucket
   */
  record Compare(MemberRecord sender, int bucket, int buckets, long digest)
      implements MembershipMessage {
    @Override
    public List<MemberRecord> records() {
      return List.of();
    }
  }

  /**
   * The records of a bucket that differed.
   *
   * @param sender the sender's own record
   * @param records the records
   * @param isAnswer whether this answers a compare; then the receiver sends back what it knows
   *     better
   */
  record Bucket(MemberRecord sender, List<MemberRecord> records, boolean isAnswer)
      implements MembershipMessage {}
}
