package org.mimosacleat.core.membership;

import java.util.Collection;
import java.util.List;
import org.mimosacleat.core.id.VmId;

/**
 * Partitions member records into hash buckets, whose digests two VMs compare to find differences
 * (anti-entropy).
 */
final class DigestBuckets {
  private static final int RECORDS_PER_BUCKET = 14;
  private static final long DIGEST_MULTIPLIER = 0x9e3779b97f4a7c15L;

  private DigestBuckets() {}

  static int bucketCount(int members) {
    return members / RECORDS_PER_BUCKET + 1;
  }

  static List<MemberRecord> recordsInBucket(
      Collection<MemberEntry> entries, int bucket, int buckets) {
    return entries.stream()
        .filter(DigestBuckets::isCompared)
        .map(MemberEntry::record)
        .filter(record -> bucketOf(record.vm(), buckets) == bucket)
        .toList();
  }

  /**
   * Omits dead VMs that are not listed: each VM removes them at its own time, which must not count
   * as a difference.
   */
  private static boolean isCompared(MemberEntry entry) {
    return entry.isListed() || entry.record().status() != MemberStatus.DEAD;
  }

  /** Returns a digest that does not depend on the order of the records. */
  static long digest(List<MemberRecord> records) {
    long digest = 0;
    for (MemberRecord record : records) {
      long value = record.vm().value().hashCode() * DIGEST_MULTIPLIER + record.incarnation();
      value = (value ^ (value >>> 29)) * DIGEST_MULTIPLIER + record.status().ordinal();
      digest += (value ^ (value >>> 32)) * DIGEST_MULTIPLIER;
    }
    return digest;
  }

  private static int bucketOf(VmId vm, int buckets) {
    int hash = vm.value().hashCode() * 0x9e3779b1;
    return Math.floorMod(hash ^ (hash >>> 15), buckets);
  }
}
