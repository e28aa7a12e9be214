package sablehinge.common.mapping;

/**
 * What a logged request is to the balancer.
 *
 * @param key empty if it has none; likewise the tenant
 * @param deadline ms; 0 for the class's own
 * @param body bytes; -1 for the replay's own
 */
public record MappedRequest(String serviceClass, String key, String tenant, double deadline, int body) {}
