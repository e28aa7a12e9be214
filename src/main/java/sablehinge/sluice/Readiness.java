package sablehinge.sluice;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sablehinge.headgate.Asked;
import sablehinge.headgate.Operation;
import sablehinge.headgate.Reply;

/** The platform asks whether clients may come. */
final class Readiness implements Operation<Readiness.Question, Readiness.State> {

    private final BooleanSupplier ready;

    Readiness(BooleanSupplier ready) {
        this.ready = ready;
    }

    /** Are clients to come? */
    record Question() { }

    /** Whether they are. */
    record State(boolean ready) { }

    @Override
    public String method() {
        return "GET";
    }

    @Override
    public String path() {
        return "/sablehinge/ready";
    }

    @Override
    public Question read(Asked asked) {
        return new Question();
    }

    @Override
    public void carryOut(Question call, Consumer<State> answer) {
        answer.accept(new State(ready.getAsBoolean()));
    }

    @Override
    public Reply write(State answer) {
        return Reply.of(answer.ready() ? 200 : 503);
    }
}
