package org.mimosacleat.serving.limits;

import java.util.Optional;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * What the store says about the limit coordinator.
 *
 * @param row the row; empty if none has been written
 * @param version the version of the row
 */
public record RecordedCoordinator(Optional<CoordinatorRow> row, StoreVersion version) {}
