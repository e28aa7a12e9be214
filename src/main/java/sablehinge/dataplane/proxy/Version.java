package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * One version of the configuration, as far as requests are concerned. A request belongs to the version under which it
 * arrived until it is forgotten.
 *
 * @param number counts up from 1; shown to operators
 * @param classes the names of the classes by which callers ask for them, in the order of the settings
 * @param tenants likewise of the tenants
 * @param shown whether answers name it to their callers
 */
public record Version(int number, Settings settings, List<String> classes, List<String> tenants, boolean shown) {}
