package org.mimosacleat.standin.endpoint;

import java.util.List;

/** A parsed statement of the extended protocol and the type OIDs of its parameters. */
record PreparedStatement(Command command, List<Integer> parameterTypes) {}
