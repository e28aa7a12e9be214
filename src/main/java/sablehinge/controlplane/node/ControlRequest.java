package sablehinge.controlplane.node;

/**
 * The requests of operators and data-plane balancers to a control node, each with the contact with a majority that its
 * answer requires. {@link QuorumGate} enforces the requirement.
 */
enum ControlRequest {
    /** An operator replaces the configuration. */
    CONFIG_REPLACE("/sablehinge/Config.Replace", QuorumContact.COMMITTED),
    /** An operator reads the newest configuration. */
    CONFIG_READ("/sablehinge/Config.Read", QuorumContact.CONFIRMED),
    /** An operator reads the history of accepted editions. */
    CONFIG_HISTORY("/sablehinge/Config.History", QuorumContact.CONFIRMED),
    /** The status of a single control node: its answer names its role and term, and claims nothing about the core. */
    MESH_STATUS("/sablehinge/Mesh.Status", QuorumContact.NONE),
    /** The data plane's part of {@link #MESH_STATUS}. */
    MESH_STATUS_PLANE(null, QuorumContact.RECENT),
    /** The registered balancers. */
    MESH_NODES("/sablehinge/Mesh.Nodes", QuorumContact.RECENT),
    /** The leader's singleton roles for the data plane; {@code Duties} on the wire. */
    MESH_SINGLETON_ROLES("/sablehinge/Mesh.Duties", QuorumContact.RECENT),
    /** A balancer watches for updates: configuration, registry, members of the core. */
    WATCH(null, QuorumContact.RECENT),
    /** A balancer, such as one that has just started, watches for an update that is confirmed to be the newest. */
    WATCH_CONFIRMED(null, QuorumContact.CONFIRMED),
    /** A balancer requests tokens of a tenant's quota, or the leader requests unused tokens back from balancers. */
    QUOTA_TOKENS(null, QuorumContact.LEASE),
    /** A balancer returns tokens. A deposed leader discards them, which never raises a limit. */
    QUOTA_RETURN(null, QuorumContact.NONE),
    /** A balancer claims shares of the retry budget. */
    RETRY_SHARES(null, QuorumContact.LEASE);

    private final String path;
    private final QuorumContact contact;

    ControlRequest(String path, QuorumContact contact) {
        this.path = path;
        this.contact = contact;
    }

    /** The path of an operator's call; null for a record of the data plane. */
    String path() {
        return path;
    }

    /** The contact with a majority that the answer requires. */
    QuorumContact contact() {
        return contact;
    }
}
