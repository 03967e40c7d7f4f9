package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.admission.ShareGrants;
import org.mimosacleat.core.admission.TeamDemand;
import org.mimosacleat.core.admission.TeamGrant;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes reports of demand and their answers as MessagePack. */
final class LimitCodec {
  private LimitCodec() {}

  static void packReport(MessagePacker packer, DemandReport report) throws IOException {
    packer.packString(report.holder().value()).packLong(report.sequence()).packLong(report.echo());
    packer.packArrayHeader(report.demands().size());
    for (TeamDemand demand : report.demands()) {
      packer.packString(demand.team().value()).packLong(demand.demand()).packLong(demand.held());
    }
  }

  static DemandReport unpackReport(MessageUnpacker unpacker) throws IOException {
    VmId holder = new VmId(unpacker.unpackString());
    long sequence = unpacker.unpackLong();
    long echo = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    List<TeamDemand> demands = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      TeamId team = new TeamId(unpacker.unpackString());
      demands.add(new TeamDemand(team, unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return new DemandReport(holder, sequence, echo, demands);
  }

  static void packAnswer(MessagePacker packer, LimitAnswer answer) throws IOException {
    switch (answer) {
      case LimitAnswer.NotGranted(Optional<VmId> coordinator) ->
          packer.packBoolean(false).packString(coordinator.map(VmId::value).orElse(""));
      case LimitAnswer.Granted(ShareGrants grants) -> {
        packer.packBoolean(true).packLong(grants.answer()).packArrayHeader(grants.grants().size());
        for (TeamGrant grant : grants.grants()) {
          packer.packString(grant.team().value()).packLong(grant.units()).packDouble(grant.burst());
        }
      }
    }
  }

  static LimitAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
    if (!unpacker.unpackBoolean()) {
      String name = unpacker.unpackString();
      return new LimitAnswer.NotGranted(
          name.isEmpty() ? Optional.empty() : Optional.of(new VmId(name)));
    }
    long answer = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    List<TeamGrant> grants = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      TeamId team = new TeamId(unpacker.unpackString());
      grants.add(new TeamGrant(team, unpacker.unpackLong(), unpacker.unpackDouble()));
    }
    return new LimitAnswer.Granted(new ShareGrants(answer, grants));
  }
}
