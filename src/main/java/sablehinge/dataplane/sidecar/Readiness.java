package sablehinge.dataplane.sidecar;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sablehinge.mesh.api.Query;
import sablehinge.mesh.api.Reply;

/** The platform asks whether clients may come. */
final class Readiness extends Query<Readiness.State> {

    private final BooleanSupplier ready;

    Readiness(BooleanSupplier ready) {
        super("/sablehinge/ready");
        this.ready = ready;
    }

    /** Whether they may. */
    record State(boolean ready) {}

    @Override
    protected void answer(Consumer<State> answer) {
        answer.accept(new State(ready.getAsBoolean()));
    }

    @Override
    public Reply write(State answer) {
        return Reply.of(answer.ready() ? 200 : 503);
    }
}
