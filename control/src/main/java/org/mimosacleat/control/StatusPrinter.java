package org.mimosacleat.control;

import java.io.PrintWriter;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.status.CreditStatus;
import org.mimosacleat.core.status.DecisionNote;
import org.mimosacleat.core.status.GroupStatus;
import org.mimosacleat.core.status.ListStatus;
import org.mimosacleat.core.status.ProxyStatus;

/** Prints the status of a proxy in human-readable form. */
final class StatusPrinter {
  private final PrintWriter out;

  StatusPrinter(PrintWriter out) {
    this.out = out;
  }

  void print(ProxyStatus status) {
    out.printf(
        "%s in %s, up since %s, status at %s%n",
        status.proxy(), status.zone(), status.startedAt(), status.at());
    status.lists().forEach(this::printList);
    status.groups().forEach(this::printGroup);
    status.credits().forEach(this::printCredits);
    status.decisions().forEach(this::printDecision);
  }

  private void printList(ListStatus list) {
    out.printf(
        "  list %s version %s by %s, in force since %s, from %s%n",
        list.kind(), list.version(), list.editor(), list.adoptedAt(), list.source());
  }

  private void printGroup(GroupStatus group) {
    String homes = group.homes().stream().map(VmId::value).collect(Collectors.joining(", "));
    String primary = group.primary().map(EndpointId::value).orElse("(promotion in progress)");
    out.printf(
        "  group %s term %s primary %s, homes %s, fencing token %d%n",
        group.group(), group.term(), primary, homes, group.fencingToken());
  }

  private void printCredits(CreditStatus credit) {
    out.printf(
        "  credits %s: %.2f left until %s, %.2f per hour, pays for %d connections and %d VMs%n",
        credit.budget(),
        credit.remaining(),
        credit.expiresAt(),
        credit.pacePerHour(),
        credit.connectionLimit(),
        credit.wantedVms());
  }

  private void printDecision(DecisionNote note) {
    out.printf("  %s %s: %s%n", note.at(), note.subject(), note.explanation());
  }
}
