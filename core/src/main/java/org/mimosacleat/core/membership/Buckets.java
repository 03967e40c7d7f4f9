package org.mimosacleat.core.membership;

import java.util.Collection;
import java.util.List;
import org.mimosacleat.core.id.VmId;

/** Divides the records into buckets that two VMs can compare. */
final class Buckets {
  private static final int RECORDS_PER_BUCKET = 14;
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

  private Buckets() {}

  static int count(int members) {
    return members / RECORDS_PER_BUCKET + 1;
  }

  static List<MemberRecord> records(Collection<MemberEntry> entries, int bucket, int buckets) {
    return entries.stream()
        .filter(Buckets::isCompared)
        .map(MemberEntry::record)
        .filter(record -> bucketOf(record.vm(), buckets) == bucket)
        .toList();
  }

  /** Dead VMs that are not listed are left out, so that they can be forgotten. */
  private static boolean isCompared(MemberEntry entry) {
    return entry.isListed() || entry.record().status() != MemberStatus.DEAD;
  }

  /** Returns a digest that does not depend on the order of the records. */
  static long digest(List<MemberRecord> records) {
    long digest = 0;
    for (MemberRecord record : records) {
      long value = record.vm().value().hashCode() * MULTIPLIER + record.incarnation();
      value = (value ^ (value >>> 29)) * MULTIPLIER + record.status().ordinal();
      digest += (value ^ (value >>> 32)) * MULTIPLIER;
    }
    return digest;
  }

  private static int bucketOf(VmId vm, int buckets) {
    int hash = vm.value().hashCode() * 0x9e3779b1;
    return Math.floorMod(hash ^ (hash >>> 15), buckets);
  }
}
