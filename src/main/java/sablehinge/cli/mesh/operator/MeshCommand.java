package sablehinge.cli.mesh.operator;

/** A command of the group {@code mesh}, created and populated by the command line parser. */
public interface MeshCommand {

    /**
     * Runs the command.
     *
     * @return the exit status: 0 done, 1 refused, 2 invalid command line or file, 3 no clear answer
     */
    int execute() throws Exception;
}
