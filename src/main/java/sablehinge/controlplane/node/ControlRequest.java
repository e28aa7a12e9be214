package sablehinge.controlplane.node;

/**
 * Everything that operators and data-plane balancers ask of a control machine, with the contact with a majority that
 * its answer needs. {@link QuorumGate} holds it.
 */
enum ControlRequest {
    /** An operator sends a configuration. */
    CONFIG_REPLACE("/sablehinge/Config.Replace", QuorumContact.COMMITTED),
    /** An operator reads the newest configuration. */
    CONFIG_READ("/sablehinge/Config.Read", QuorumContact.CONFIRMED),
    /** An operator reads which editions were taken. */
    CONFIG_HISTORY("/sablehinge/Config.History", QuorumContact.CONFIRMED),
    /** What a machine of the core knows of itself; it names its role and term, and claims no more. */
    MESH_STATUS("/sablehinge/Mesh.Status", QuorumContact.NONE),
    /** What {@link #MESH_STATUS} adds about the data plane. */
    MESH_STATUS_PLANE(null, QuorumContact.RECENT),
    /** Which balancers there are. */
    MESH_NODES("/sablehinge/Mesh.Nodes", QuorumContact.RECENT),
    /** What the leader holds for the data plane. */
    MESH_SINGLETON_ROLES("/sablehinge/Mesh.Duties", QuorumContact.RECENT),
    /** A balancer watches for updates: configuration, registry, members of the core. */
    WATCH(null, QuorumContact.RECENT),
    /** A balancer watches for a confirmed update, which nothing newer precedes: one that has just started, for one. */
    WATCH_CONFIRMED(null, QuorumContact.CONFIRMED),
    /** A balancer asks for tokens of a tenant's quota; so does the core that balancers give some back. */
    QUOTA_TOKENS(null, QuorumContact.LEASE),
    /** A balancer gives tokens back: one that isn't in force any more loses them, which bounds nothing. */
    QUOTA_RETURN(null, QuorumContact.NONE),
    /** A balancer claims shares of the retry budget. */
    RETRY_SHARES(null, QuorumContact.LEASE);

    private final String path;
    private final QuorumContact contact;

    ControlRequest(String path, QuorumContact contact) {
        this.path = path;
        this.contact = contact;
    }

    /** The path of an operators' call; null for a record of the data plane. */
    String path() {
        return path;
    }

    /** What its answer needs. */
    QuorumContact contact() {
        return contact;
    }
}
