package sablehinge.tools.replay;

import sablehinge.common.mapping.MappedRequest;

/**
 * A request that a caller made, once, however often it was tried.
 *
 * @param time when, in ms since 1970
 * @param mapped what it is; null if no rule is for it
 * @param shape of a request that no rule is for; otherwise null
 * @param body bytes of its body; -1 where the log doesn't tell
 */
public record Demand(double time, String method, String target, MappedRequest mapped, String shape, int body) {}
