package sablehinge.dataplane.http1;

import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Version;

/**
 * A request that was read and found valid.
 *
 * @param name the client's name for it; empty for none
 * @param version the version that it was read by and belongs to
 */
public record CheckedRequest(String name, Arrival arrival, Version version) {}
