package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.settings.LimitSettings;
import org.mimosacleat.proxy.settings.MonitorSettings;
import org.mimosacleat.store.table.TableService;

/**
 * What all homes of a proxy share.
 *
 * @param self this VM
 * @param zone where it runs
 * @param clock the monotonic clock
 * @param random for draws and unique ids
 * @param executor runs what may wait
 * @param table the platform's table service
 * @param tableTimeout of one call to it
 * @param messenger the way to other proxies
 * @param admission holds customers to their plans
 * @param limits limits on connections
 * @param monitor how endpoints are watched
 * @param journal where decisions are explained
 */
public record HomeContext(
    VmId self,
    AvailabilityZone zone,
    InstantSource clock,
    RandomGenerator random,
    ExecutorService executor,
    TableService table,
    Duration tableTimeout,
    HomeMessenger messenger,
    Admission admission,
    LimitSettings limits,
    MonitorSettings monitor,
    DecisionJournal journal) {}
