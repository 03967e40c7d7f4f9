package org.mimosacleat.lab.measure.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MembershipMessage;

class MessageSizeTest {
  private static final int MAX_DATAGRAM_BYTES = 1_400;
  private static final long START_TIME = 1_790_000_000_000L;

  @Test
  void fullMembershipMessageFitsOneDatagram() {
    List<MemberRecord> records = new ArrayList<>();
    for (int index = 0; index < MembershipMessage.MAX_RECORDS; index++) {
      records.add(FleetNames.record(6_000 + index, START_TIME));
    }
    MemberRecord sender = FleetNames.record(1, START_TIME);
    int size = MessageSize.of(new MembershipMessage.Ping(sender, START_TIME, records));

    assertTrue(size <= MAX_DATAGRAM_BYTES, "bytes: " + size);
  }
}
