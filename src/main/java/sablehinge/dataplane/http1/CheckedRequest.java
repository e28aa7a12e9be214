package sablehinge.dataplane.http1;

import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Version;

/**
 * A request that can be taken in.
 *
 * @param name its caller's name for it; empty for none
 * @param version by which it was read, and to which it belongs
 */
public record CheckedRequest(String name, Arrival arrival, Version version) {}
