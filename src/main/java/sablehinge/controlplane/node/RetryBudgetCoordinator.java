package sablehinge.controlplane.node;

import java.util.ArrayList;
import java.util.List;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.retrybudget.Grant;
import sablehinge.mesh.retrybudget.RetryBudgetAllocator;
import sablehinge.mesh.retrybudget.RetryBudgetRule;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.RetryBudgetCodec;

/** Answers balancers' claims on the retry budget; the caller checks that this node holds a lease. */
final class RetryBudgetCoordinator {

    private final RetryBudgetAllocator allocator;

    RetryBudgetCoordinator(LocalSettings.Bounds bounds) {
        allocator = new RetryBudgetAllocator(
                new RetryBudgetRule(bounds.retryRatio(), bounds.retryWindowS() * 1_000, bounds.retrySlack()));
    }

    void startTerm(long term) {
        allocator.begin(term);
    }

    void adopt(double now, Configuration configuration) {
        List<String> services = new ArrayList<>();
        configuration.services().forEach(service -> services.add(service.name()));
        allocator.adopt(now, services);
    }

    /** The answer to a claim; null if there is none. */
    Frame answer(double now, Claim claim) {
        Grant grant = allocator.grant(now, claim);
        return grant == null ? null : new Frame(Frame.Kind.SHARES, RetryBudgetCodec.encode(grant));
    }
}
