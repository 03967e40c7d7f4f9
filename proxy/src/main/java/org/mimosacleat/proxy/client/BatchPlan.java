package org.mimosacleat.proxy.client;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.wire.postgres.Frame;

/**
 * A batch with the information that is needed to run it.
 *
 * @param batch the batch
 * @param kind the combined kind of its statements
 * @param texts the SQL texts of its statements, including prepared statements that it uses
 * @param parsed the parse frames of the statements that it prepares, by statement name
 * @param closed the names of the statements that it closes
 * @param injected frames to send before the batch, so that the endpoint's connection has the
 *     prepared statements that it uses
 * @param refusal the reason why it cannot be run; empty if it can
 */
record BatchPlan(
    Batch batch,
    StatementKind kind,
    List<String> texts,
    Map<String, Frame> parsed,
    List<String> closed,
    List<Frame> injected,
    Optional<Failure> refusal) {
  BatchPlan {
    texts = List.copyOf(texts);
    parsed = Map.copyOf(parsed);
    closed = List.copyOf(closed);
    injected = List.copyOf(injected);
  }
}
