package org.mimosacleat.serving.promotion;

import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.routing.GroupViews;

/**
 * What the guards of all groups share.
 *
 * @param self this proxy
 * @param fleet the picture of the fleet
 * @param pools the connections to endpoints
 * @param views what requests know of the primaries
 * @param shared the records that all proxies share
 * @param records the newest records that were seen
 * @param administration asks and changes endpoints
 * @param call orders promotions
 * @param executor runs what need not be waited for
 * @param clock the clock of all deadlines
 * @param random spreads the actions of the proxies
 * @param sleeper waits
 */
public record GuardParts(
    VmId self,
    FleetState fleet,
    EndpointPools pools,
    GroupViews views,
    SharedRecords shared,
    PrimaryRecords records,
    EndpointAdministration administration,
    PromotionCall call,
    ExecutorService executor,
    InstantSource clock,
    RandomGenerator random,
    Sleeper sleeper) {}
