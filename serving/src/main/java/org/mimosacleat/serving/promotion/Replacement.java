package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.VmId;

/**
 * A replacement of a primary.
 *
 * @param holder the proxy that carries it out
 * @param planned whether the holder reaches the primary, so that it can fence it by itself
 */
public record Replacement(VmId holder, boolean planned) {}
