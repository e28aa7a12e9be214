package sablehinge.gateway.config.operator;

import java.util.Map;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;

/** Reads one listener for clients. */
final class ListenerSection {

    private ListenerSection() {}

    static ListenerPart read(Section s) {
        s.choice("protocol", "http1", Map.of("http1", "http1"));
        return new ListenerPart(s.name("name", "main"), s.address("address", true));
    }
}
