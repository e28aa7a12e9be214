/**
 * HTTP/1.1 on both sides of the proxy: {@link sablehinge.dataplane.http1.Frontend} receives requests of clients,
 * {@link sablehinge.dataplane.http1.UpstreamClient} sends attempts to upstreams. Dialects hold the differences between
 * platform and mesh. All code runs on one event loop; the last holder of a buffer releases it.
 */
package sablehinge.dataplane.http1;
