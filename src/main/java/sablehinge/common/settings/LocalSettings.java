package sablehinge.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings file of a process of the mesh (DEPLOY, "What a process is told").
 *
 * <p>Which keys there must be, and of what type and range, stands in the resource {@code local.schema.json}, and there
 * alone is it put in words. To load the library that checks by a schema takes longer than all else at a start, so a
 * file is read by plain steps first, and only one that they stop at is checked by the schema, whose words the error
 * then has. The tests hold the steps to the schema: they take away and spoil each key that it has, and both must give
 * the same answer.
 *
 * @param node the process's machine
 * @param ip its address, without a port
 * @param innerFirst the first of the ports that are free for what balancers say to each other
 * @param innerLast the last one of them
 * @param seeds addresses, with ports, of machines that serve control
 * @param firstStart whether the system as such starts for the first time
 * @param counted whether the machine is among those that {@code tolerateMachines} counts
 * @param dataDir the folder that is kept; null for none
 * @param heartbeatMs between two heartbeats of an upstream
 * @param contracts the parts of the rules that are in force
 * @param app the address of the upstream on this machine; null for none
 * @param depot the service of that upstream; null for none
 * @param zones the regions of all zones, by the zones' names, in the file's order
 * @param tolerateMachines how many machines that count may be lost at once
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

    /** What a process is. */
    public enum Role {
        /** Proxies the traffic of the machine that it shares with an upstream. */
        SIDECAR,
        /** Keeps the configuration and knows the upstreams. */
        CONTROL
    }

    /** Addresses with ports, each null where it is not served. */
    public record ListenOn(String inbound, String outbound, String ready, String control) {}

    /**
     * What the machine gives the process.
     *
     * @param cpuShare of a core, which is {@code cores} times as fast as one
     * @param fds file descriptors
     * @param diskMb 0 where there is no disk
     */
    public record Limits(double cpuShare, double cores, double memoryMb, int fds, double linkMbps, double diskMb) {}

    /** The figures of the contracts; names end in their unit, Ms or S, where they have one. */
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

    /** Settings whose lists can't be changed. */
    public LocalSettings {
        serves = List.copyOf(serves);
        seeds = List.copyOf(seeds);
        contracts = List.copyOf(contracts);
    }

    /** Where the seeds take records of other processes: a seed's first inner port is the same on all machines. */
    public List<String> innerSeeds() {
        return seeds.stream().map(this::innerSeed).toList();
    }

    /** Where one seed takes records of other processes. */
    public String innerSeed(String seed) {
        return seed.substring(0, seed.lastIndexOf(':') + 1) + innerFirst;
    }

    /** Whether a part of the rules is in force. */
    public boolean isContractEnabled(String contract) {
        return contracts.contains(contract);
    }

    /**
     * Reads a file; what it does not know in there is skipped.
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
            throw new ConfigException(path + ": TOML was expected: " + Toml.why(e));
        } catch (SettingsTable.InvalidKeyException e) {
            throw new ConfigException(path + ": " + LocalSchema.words(bytes, e.getMessage()));
        }
    }
}
