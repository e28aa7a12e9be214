package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.util.Map;

/** How calls travel. */
public interface HttpCaller {

    /**
     * A call.
     *
     * @param body not to be changed; empty for none
     */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {

        static Request get(String operation) {
            return new Request("GET", "/sablehinge/" + operation, Map.of(), new byte[0]);
        }

        Request at(String otherPath) {
            return new Request(method, otherPath, headers, body);
        }
    }

    /**
     * A complete answer.
     *
     * @param location where to call instead; null for none
     */
    record Answer(int status, String location, byte[] body) {}

    /**
     * Makes one call, follows nothing and repeats nothing. It has ended within the bound, whatever happens.
     *
     * @throws java.net.ConnectException where the call surely was not sent
     * @throws IOException where there was no complete answer in time; what became of the call is not known
     */
    Answer call(String address, Request request, long withinMs) throws IOException, InterruptedException;
}
