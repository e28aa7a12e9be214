package sablehinge.cli.mesh;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sablehinge.cli.mesh.operator.MeshCommand;
import sablehinge.tools.standin.mesh.MeshPlan;
import sablehinge.tools.standin.mesh.MeshVersion;
import sablehinge.tools.standin.mesh.SmallMesh;
import sablehinge.tools.standin.mesh.TrafficLog;

/** Writes the settings files of a small mesh that is started manually. */
@Command(
        name = "settings",
        description = "Writes the settings files of three control nodes and two sidecars on "
                + "loopback, and a first configuration, into a folder")
public final class MeshSettingsCommand implements MeshCommand {

    private static final int CONTROL_NODES = 3;

    @Required
    @Option(
            name = {"-o", "--out"},
            title = "DIR",
            description = "The folder, made if there is none")
    private String out;

    @Option(
            name = {"-a", "--addresses"},
            title = "PREFIX",
            description = "The first three numbers of all addresses (default: 127.0.0)")
    private String addresses = "127.0.0";

    /** Called by the command line parser. */
    public MeshSettingsCommand() {}

    @Override
    public int execute() throws IOException {
        Path folder = Files.createDirectories(Path.of(out)).toAbsolutePath();
        MeshPlan plan = new MeshPlan(addresses, CONTROL_NODES, List.of(SmallMesh.BASALT, SmallMesh.MARL));
        for (int i = 0; i < CONTROL_NODES; i++) {
            Path data = Files.createDirectories(folder.resolve("core-" + (i + 1) + ".data"));
            Files.writeString(
                    folder.resolve("core-" + (i + 1) + ".toml"), plan.controlSettings(i, data.toString(), true));
            System.out.println("core-" + (i + 1) + ".toml: control " + plan.coreControl(i));
        }
        for (int i = 0; i < plan.services().size(); i++) {
            Files.writeString(folder.resolve("sidecar-" + (i + 1) + ".toml"), plan.sidecarSettings(i));
            System.out.println("sidecar-" + (i + 1) + ".toml: clients " + plan.outbound(i) + ", upstream of "
                    + plan.services().get(i) + " " + plan.app(i) + ", beats " + plan.control(i) + ", ready "
                    + plan.ready(i));
        }
        Files.write(
                folder.resolve("first.json"),
                new MeshVersion(
                                1,
                                0,
                                List.of(
                                        new MeshVersion.Route("/read/", TrafficLog.Kind.SAFE, plan.services()),
                                        new MeshVersion.Route(
                                                "/write/", TrafficLog.Kind.UNSAFE, List.of(SmallMesh.BASALT))),
                                plan.services())
                        .body());
        System.out.println(
                "first.json: edition 1, to be based on 0; host " + MeshVersion.HOST + ", key " + MeshVersion.KEY);
        return 0;
    }
}
