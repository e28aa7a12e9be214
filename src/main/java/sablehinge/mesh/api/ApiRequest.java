package sablehinge.mesh.api;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A call as it came.
 *
 * @param name what follows the operation's path; empty for nothing
 * @param body not to be changed
 */
public record ApiRequest(String name, HttpHeaders headers, byte[] body) {}
