package org.mimosacleat.serving.promotion;

import org.mimosacleat.serving.version.StoreVersion;

/**
 * A conditional write of a lease record.
 *
 * @param record the record to write
 * @param expected the version that the stored record must still have, in the same era
 */
public record LeaseRenewal(ProxyRecord record, StoreVersion expected) {}
