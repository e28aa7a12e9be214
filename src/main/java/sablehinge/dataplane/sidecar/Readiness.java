package sablehinge.dataplane.sidecar;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Query;

/** The readiness probe of the platform: whether clients may connect. */
final class Readiness extends Query<Readiness.State> {

    private final BooleanSupplier ready;

    Readiness(BooleanSupplier ready) {
        super("/sablehinge/ready");
        this.ready = ready;
    }

    /** Whether clients may connect. */
    record State(boolean ready) {}

    @Override
    protected void answer(Consumer<State> answer) {
        answer.accept(new State(ready.getAsBoolean()));
    }

    @Override
    public ApiResponse write(State answer) {
        return ApiResponse.of(answer.ready() ? 200 : 503);
    }
}
