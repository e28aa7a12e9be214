package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.util.Map;

/** Sends HTTP requests to the core. */
public interface HttpCaller {

    /**
     * A request.
     *
     * @param body the body, which must not be modified; empty if there is none
     */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {

        static Request get(String operation) {
            return new Request("GET", "/sablehinge/" + operation, Map.of(), new byte[0]);
        }

        Request withPath(String newPath) {
            return new Request(method, newPath, headers, body);
        }
    }

    /**
     * A complete answer.
     *
     * @param location the redirect target; null if there is none
     */
    record Answer(int status, String location, byte[] body) {}

    /**
     * Makes one call without following redirects or retrying. Always returns within the time limit.
     *
     * @throws java.net.ConnectException if the call was certainly not sent
     * @throws IOException if there was no complete answer in time; the call may have been carried out
     */
    Answer call(String address, Request request, long withinMs) throws IOException, InterruptedException;
}
