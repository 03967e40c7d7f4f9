package org.mimosacleat.serving.session;

import java.time.InstantSource;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.routing.GroupViews;
import org.mimosacleat.serving.routing.PrimaryDoubt;
import org.mimosacleat.serving.routing.TargetChooser;

/**
 * What all sessions of a proxy share.
 *
 * @param fleet the picture of the fleet
 * @param views what is known of the primaries
 * @param chooser chooses endpoints
 * @param loop repeats attempts
 * @param doubt is told of primaries that do not answer as such
 * @param failures logs statements that failed
 * @param clock the clock of all deadlines
 */
record SessionParts(
    FleetState fleet,
    GroupViews views,
    TargetChooser chooser,
    AttemptLoop loop,
    PrimaryDoubt doubt,
    FailureLog failures,
    InstantSource clock) {}
