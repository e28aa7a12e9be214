/**
 * Both ends of HTTP/1.1: callers in by {@link sablehinge.dataplane.http1.Frontend}, attempts out by
 * {@link sablehinge.dataplane.http1.UpstreamClient}; what differs between platform and mesh is in dialects. All on one
 * event loop; buffers are released by whoever holds them last.
 */
package sablehinge.dataplane.http1;
