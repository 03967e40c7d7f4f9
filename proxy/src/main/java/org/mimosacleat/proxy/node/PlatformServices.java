package org.mimosacleat.proxy.node;

import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.vmlist.VmList;

/**
 * The platform's services that a proxy uses.
 *
 * @param table the table service
 * @param objects the object store
 * @param vmList the list of live and leaving VMs
 */
public record PlatformServices(TableService table, ObjectStore objects, VmList vmList) {}
