package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.Frames;

/** Handles the frames of the extended query protocol, except the sync frame. */
final class ExtendedProtocol {
  private static final int TEXT_OID = 25;
  private static final byte STATEMENT_KIND = 'S';

  private final SessionEngine engine;
  private final Map<String, PreparedStatement> statements = new HashMap<>();
  private final Map<String, Portal> portals = new HashMap<>();

  ExtendedProtocol(SessionEngine engine) {
    this.engine = engine;
  }

  List<Frame> parse(Frame frame) throws SqlStateException, IOException {
    BodyReader body = new BodyReader(frame);
    String name = body.readString();
    List<Command> commands = SqlParser.parse(body.readString());
    if (commands.size() > 1) {
      throw new SqlStateException(
          SqlStateException.SYNTAX_ERROR,
          "cannot insert multiple commands into a prepared statement");
    }
    int count = body.readShort();
    List<Integer> types = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      types.add(body.readInt());
    }
    statements.put(name, new PreparedStatement(commands.getFirst(), types));
    return List.of(Frames.empty(BackendType.PARSE_COMPLETE));
  }

  List<Frame> bind(Frame frame) throws SqlStateException, IOException {
    BodyReader body = new BodyReader(frame);
    String portal = body.readString();
    PreparedStatement statement = statement(body.readString());
    List<String> parameters = ParameterDecoder.read(body, statement.parameterTypes());
    List<Integer> formats = ParameterDecoder.readFormats(body);
    portals.put(portal, new Portal(statement.command(), parameters, formats));
    return List.of(Frames.empty(BackendType.BIND_COMPLETE));
  }

  List<Frame> describe(Frame frame) throws SqlStateException, IOException {
    BodyReader body = new BodyReader(frame);
    if (body.readByte() == STATEMENT_KIND) {
      PreparedStatement statement = statement(body.readString());
      return List.of(
          parameterDescription(statement.parameterTypes()),
          rowDescription(statement.command(), List.of()));
    }
    Portal portal = portal(body.readString());
    return List.of(rowDescription(portal.command(), portal.formats()));
  }

  List<Frame> execute(Frame frame) throws SqlStateException, IOException, InterruptedException {
    BodyReader body = new BodyReader(frame);
    Portal portal = portal(body.readString());
    int limit = body.readInt();
    if (portal.result().isEmpty()) {
      portal.setResult(engine.execute(portal.command(), portal.parameters()));
    }
    QueryResult result = portal.result().orElseThrow();
    List<Frame> frames = new ArrayList<>();
    for (List<String> row : portal.nextRows(limit)) {
      frames.add(ResultFrames.dataRow(result.columns(), row, portal.formats()));
    }
    frames.add(completion(portal, result));
    return frames;
  }

  List<Frame> close(Frame frame) throws IOException {
    BodyReader body = new BodyReader(frame);
    boolean statement = body.readByte() == STATEMENT_KIND;
    String name = body.readString();
    if (statement) {
      statements.remove(name);
    } else {
      portals.remove(name);
    }
    return List.of(Frames.empty(BackendType.CLOSE_COMPLETE));
  }

  /** Removes the portals, which exist only until the end of their transaction. */
  void endTransaction() {
    portals.clear();
  }

  private Frame rowDescription(Command command, List<Integer> formats) throws SqlStateException {
    List<Column> columns = engine.describe(command);
    return columns.isEmpty()
        ? Frames.empty(BackendType.NO_DATA)
        : ResultFrames.rowDescription(columns, formats);
  }

  private static Frame completion(Portal portal, QueryResult result) {
    if (portal.hasMoreRows()) {
      return Frames.empty(BackendType.PORTAL_SUSPENDED);
    }
    return result.tag().isEmpty()
        ? Frames.empty(BackendType.EMPTY_QUERY)
        : Frames.commandComplete(result.tag());
  }

  private static Frame parameterDescription(List<Integer> types) {
    BodyBuilder body = new BodyBuilder().int16(types.size());
    types.forEach(type -> body.int32(type == 0 ? TEXT_OID : type));
    return body.frame(BackendType.PARAMETER_DESCRIPTION);
  }

  private PreparedStatement statement(String name) throws SqlStateException {
    return Optional.ofNullable(statements.get(name))
        .orElseThrow(
            () ->
                new SqlStateException(
                    SqlStateException.INVALID_STATEMENT_NAME,
                    "prepared statement \"" + name + "\" does not exist"));
  }

  private Portal portal(String name) throws SqlStateException {
    return Optional.ofNullable(portals.get(name))
        .orElseThrow(
            () ->
                new SqlStateException(
                    SqlStateException.INVALID_CURSOR_NAME,
                    "portal \"" + name + "\" does not exist"));
  }
}
