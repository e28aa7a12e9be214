package sablehinge.mesh.api;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A received call.
 *
 * @param name the part of the path after the operation's path; may be empty
 * @param body the body, which must not be modified
 */
public record ApiRequest(String name, HttpHeaders headers, byte[] body) {}
