package sablehinge.common.mapping;

/**
 * A logged request in terms of the balancer.
 *
 * @param key empty if it has none; likewise the tenant
 * @param deadline ms; 0 for the default of the class
 * @param body bytes; -1 for the default of the replay
 */
public record MappedRequest(String serviceClass, String key, String tenant, double deadline, int body) {}
