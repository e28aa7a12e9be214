package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * The part of a configuration version that requests need. A request belongs to the version under which it arrived until
 * the request is removed.
 *
 * @param number counts up from 1; shown to operators
 * @param classes the class names that clients use in requests, in the order of the settings
 * @param tenants the tenant names, likewise
 * @param shown whether answers to clients contain the version number
 */
public record Version(int number, Settings settings, List<String> classes, List<String> tenants, boolean shown) {}
