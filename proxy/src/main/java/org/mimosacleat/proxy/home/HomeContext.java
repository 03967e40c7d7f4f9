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
 * The dependencies that all homes of a proxy share.
 *
 * @param self this VM
 * @param zone the availability zone that it runs in
 * @param clock the monotonic clock
 * @param random source of random choices and unique ids
 * @param executor runs tasks that may block
 * @param tableService the platform's table service
 * @param tableTimeout timeout of one call to the table service
 * @param messenger sends messages to other proxies
 * @param admission enforces the customers' plans
 * @param limitSettings limits on connections and requests
 * @param monitorSettings settings of the endpoint monitors
 * @param journal records explanations of decisions
 */
public record HomeContext(
    VmId self,
    AvailabilityZone zone,
    InstantSource clock,
    RandomGenerator random,
    ExecutorService executor,
    TableService tableService,
    Duration tableTimeout,
    HomeMessenger messenger,
    Admission admission,
    LimitSettings limitSettings,
    MonitorSettings monitorSettings,
    DecisionJournal journal) {}
