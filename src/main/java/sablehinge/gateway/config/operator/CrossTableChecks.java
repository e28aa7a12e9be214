package sablehinge.gateway.config.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sablehinge.gateway.config.operator.OperatorConfig.AdminPart;
import sablehinge.gateway.config.operator.OperatorConfig.ClassPart;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;
import sablehinge.gateway.config.operator.OperatorConfig.TenantPart;
import sablehinge.gateway.config.operator.OperatorConfig.UpstreamPart;

/** Checks across tables: duplicate names and addresses. */
final class CrossTableChecks {

    private CrossTableChecks() {}

    /** Adds the problems that are found to the root section. */
    static void check(
            Section root,
            List<ListenerPart> listeners,
            List<UpstreamPart> upstreams,
            List<ClassPart> classes,
            List<TenantPart> tenants,
            AdminPart admin) {
        unique(root, "class", classes, ClassPart::name, "name");
        unique(root, "tenant", tenants, TenantPart::name, "name");
        unique(root, "upstream", upstreams, UpstreamPart::id, "id");
        unique(root, "upstream", upstreams, UpstreamPart::address, "address");
        unique(root, "listener", listeners, ListenerPart::name, "name");
        List<InetSocketAddress> bound = new ArrayList<>();
        for (int i = 0; i < listeners.size(); i++) {
            InetSocketAddress address = listeners.get(i).address();
            if (address == null) {
                continue;
            }
            if (bound.stream().anyMatch(other -> collide(other, address))
                    || admin.listen() != null && collide(admin.listen(), address)) {
                root.itemProblem("listener", i, "address", "is taken by another listener of this file");
            }
            bound.add(address);
        }
        for (int i = 0; i < upstreams.size(); i++) {
            InetSocketAddress address = upstreams.get(i).address();
            if (address != null && bound.stream().anyMatch(other -> collide(other, address))) {
                root.itemProblem(
                        "upstream", i, "address", "is one where this balancer listens, expected another server's");
            }
        }
    }

    private static boolean collide(InetSocketAddress first, InetSocketAddress second) {
        return first.getPort() != 0
                && first.getPort() == second.getPort()
                && (first.getAddress().equals(second.getAddress())
                        || first.getAddress().isAnyLocalAddress()
                        || second.getAddress().isAnyLocalAddress());
    }

    private static <T> void unique(
            Section root, String list, Collection<T> items, Function<T, Object> name, String key) {
        Map<Object, Integer> seen = new HashMap<>();
        int index = 0;
        for (T item : items) {
            Object value = name.apply(item);
            Integer firstIndex = value == null ? null : seen.putIfAbsent(value, index);
            if (firstIndex != null && !(value instanceof InetSocketAddress address && address.getPort() == 0)) {
                root.itemProblem(list, index, key, "is the same as that of " + list + "[" + (firstIndex + 1) + "]");
            }
            index++;
        }
    }
}
