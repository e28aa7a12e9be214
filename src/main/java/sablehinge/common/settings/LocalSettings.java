package sablehinge.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings file of a process of the mesh (DEPLOY, "What a process is told").
 *
 * <p>The resource {@code local.schema.json} defines the required keys with their types and ranges, and is the only
 * source of the error messages. Loading the library that validates by a schema takes longer than the rest of a start,
 * so a file is first read by {@link LocalSettingsReader}, and only a file that it rejects is validated by the schema,
 * which gives the error message. The tests keep reader and schema consistent: they remove and corrupt each key of the
 * schema, and both must give the same result.
 *
 * @param node the process's machine
 * @param ip its address, without a port
 * @param innerFirst the first port of the range that processes of the mesh use among themselves
 * @param innerLast the last port of that range
 * @param seeds addresses, with ports, of machines that serve the control plane
 * @param firstStart whether the mesh as such starts for the first time
 * @param counted whether the machine is among those that {@code tolerateMachines} counts
 * @param dataDir the persistent directory; null for none
 * @param heartbeatMs interval between two heartbeats of an upstream
 * @param contracts the names of the contracts that are in force
 * @param app the address of the upstream on this machine; null for none
 * @param depot the service of that upstream; null for none
 * @param zones the regions of all zones, by the zones' names, in the file's order
 * @param tolerateMachines how many of the counted machines may be lost at once
 */
public record LocalSettings(
        String node,
        Role role,
        String machineClass,
        List<String> serves,
        String ip,
        String zone,
        String region,
        int innerFirst,
        int innerLast,
        List<String> seeds,
        boolean firstStart,
        boolean counted,
        String dataDir,
        double heartbeatMs,
        List<String> contracts,
        String app,
        String depot,
        Map<String, String> zones,
        ListenOn listenOn,
        Limits limits,
        int tolerateMachines,
        Bounds bounds) {

    /** The role of a process. */
    public enum Role {
        /** Proxies the traffic of the machine that it shares with an upstream. */
        SIDECAR,
        /** Stores the configuration and tracks the upstreams. */
        CONTROL
    }

    /** Addresses with ports that the process listens on, each null if it is not served. */
    public record ListenOn(String inbound, String outbound, String ready, String control) {}

    /**
     * The resources that the machine gives the process.
     *
     * @param cpuShare of a core, which is {@code cores} times as fast as one
     * @param fds file descriptors
     * @param diskMb 0 if there is no disk
     */
    public record Limits(double cpuShare, double cores, double memoryMb, int fds, double linkMbps, double diskMb) {}

    /** The limits of the contracts; names end in their unit, Ms or S, where they have one. */
    public record Bounds(
            double seedDelayS,
            double readdressAfterS,
            double contactMs,
            double receiptMs,
            double onboardS,
            double unloadMs,
            double graceS,
            double lostSlackMs,
            double editionMs,
            double revertMs,
            double maxStretchMs,
            boolean sealed,
            double revokeMs,
            double retryRatio,
            double retryWindowS,
            double retrySlack,
            double quotaWindowS,
            double quotaExcess,
            double quotaSlack,
            double recoverS) {}

    /** Copies the lists, so that they are immutable. */
    public LocalSettings {
        serves = List.copyOf(serves);
        seeds = List.copyOf(seeds);
        contracts = List.copyOf(contracts);
    }

    /**
     * The addresses at which the seeds accept records of other processes: the first inner port is the same on all
     * machines.
     */
    public List<String> innerSeeds() {
        return seeds.stream().map(this::innerSeed).toList();
    }

    /** The address at which one seed accepts records of other processes. */
    public String innerSeed(String seed) {
        return seed.substring(0, seed.lastIndexOf(':') + 1) + innerFirst;
    }

    /** Whether a contract is in force. */
    public boolean isContractEnabled(String contract) {
        return contracts.contains(contract);
    }

    /**
     * Reads a file; unknown keys are ignored.
     *
     * @param path of a TOML file
     * @throws ConfigException that names the file, the key, what was expected and what was found, in one line
     */
    public static LocalSettings read(Path path) throws ConfigException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(path);
        } catch (IOException e) {
            throw new ConfigException(path + ": a file that can be read was expected: "
                    + e.getClass().getSimpleName());
        }
        try {
            return LocalSettingsReader.settings(Toml.read(bytes));
        } catch (IOException e) {
            throw new ConfigException(path + ": TOML was expected: " + Toml.describe(e));
        } catch (SettingsTable.InvalidKeyException e) {
            throw new ConfigException(path + ": " + LocalSchema.describe(bytes, e.getMessage()));
        }
    }
}
