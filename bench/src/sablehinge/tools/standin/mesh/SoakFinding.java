package sablehinge.tools.standin.mesh;

/**
 * A rule that was broken in a soak run.
 *
 * @param rule its name
 * @param machine where, among those with an upstream; -1 where it has no place
 * @param at when, ms of {@link TrafficLog#now}; NaN where it has no time
 * @param words what was seen
 */
record SoakFinding(String rule, int machine, double at, String words) {}
