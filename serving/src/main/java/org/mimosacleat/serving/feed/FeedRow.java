package org.mimosacleat.serving.feed;

/**
 * A changed row.
 *
 * @param key the key in its table
 * @param value the bytes; empty if the row was removed
 * @param version the store's version counter at the change
 * @param removed whether the row was removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record FeedRow(String key, byte[] value, long version, boolean removed) {}
