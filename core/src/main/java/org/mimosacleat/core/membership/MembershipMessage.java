package org.mimosacleat.core.membership;

import java.util.List;
import org.mimosacleat.core.id.VmId;

/**
 * A message of the membership protocol. It carries the sender's own record and at most {@value
 * #MAX_RECORDS} records of other VMs, so that it fits into one datagram.
 */
public sealed interface MembershipMessage {
  /** The maximum number of records of other VMs in a message. */
  int MAX_RECORDS = 16;

  /** Returns the sender's own record. */
  MemberRecord sender();

  /** Returns records of other VMs. */
  List<MemberRecord> records();

  /**
   * Requests an acknowledgement.
   *
   * @param sender the sender's own record
   * @param sequence identifies the ping; repeated in the acknowledgement
   * @param records records of other VMs
   */
  record Ping(MemberRecord sender, long sequence, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Acknowledges a ping, or reports to its requester that an indirect ping was acknowledged.
   *
   * @param sender the sender's own record
   * @param sequence the sequence of the acknowledged ping
   * @param records records of other VMs
   */
  record Acknowledgement(MemberRecord sender, long sequence, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Asks a helper to ping a VM that did not answer.
   *
   * @param sender the sender's own record
   * @param sequence identifies the request; repeated in the acknowledgement
   * @param target the VM to ping
   * @param records records of other VMs
   */
  record IndirectPing(MemberRecord sender, long sequence, VmId target, List<MemberRecord> records)
      implements MembershipMessage {}

  /**
   * Sends the digest of one bucket of the sender's records. A receiver whose digest differs answers
   * with its records in the bucket.
   *
   * @param sender the sender's own record
   * @param bucket the index of the bucket, from 0
   * @param buckets the number of buckets of the sender
   * @param digest the digest of the sender's records in the bucket
   */
  record CompareDigest(MemberRecord sender, int bucket, int buckets, long digest)
      implements MembershipMessage {
    @Override
    public List<MemberRecord> records() {
      return List.of();
    }
  }

  /**
   * Sends records of a bucket whose digests differed.
   *
   * @param sender the sender's own record
   * @param records the records
   * @param isResponse whether this answers a {@link CompareDigest}; the receiver then sends back
   *     its own records that are newer
   */
  record BucketRecords(MemberRecord sender, List<MemberRecord> records, boolean isResponse)
      implements MembershipMessage {}
}
