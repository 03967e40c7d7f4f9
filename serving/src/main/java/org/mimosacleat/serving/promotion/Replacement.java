package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.VmId;

/**
 * A replacement of a primary in progress.
 *
 * @param holder the proxy that carries it out
 * @param planned whether the holder can reach the primary and so fence it itself
 */
public record Replacement(VmId holder, boolean planned) {}
