package org.mimosacleat.serving.session;

import java.time.InstantSource;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.routing.GroupViews;
import org.mimosacleat.serving.routing.PrimaryDoubt;
import org.mimosacleat.serving.routing.TargetChooser;

/**
 * The dependencies that all sessions of a proxy share.
 *
 * @param fleet the configuration and endpoints of the fleet
 * @param views what is known of each group's primary
 * @param chooser chooses endpoints
 * @param loop retries attempts
 * @param doubt receives reports of primaries that do not answer as primary
 * @param failures logs statements that failed
 * @param clock the clock for all deadlines
 */
record SessionParts(
    FleetState fleet,
    GroupViews views,
    TargetChooser chooser,
    AttemptLoop loop,
    PrimaryDoubt doubt,
    FailureLog failures,
    InstantSource clock) {}
