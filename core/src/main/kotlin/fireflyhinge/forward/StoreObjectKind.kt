package fireflyhinge.forward

/** Kinds of objects in the platform's store that VMs watch. */
enum class StoreObjectKind {
    /** The configuration. */
    CONFIGURATION,

    /** The list of replicas. */
    REPLICAS,

    /** The VMs of this system. */
    VMS,

    /** Evidence on traits of requests that crash replicas. */
    CRASHES,

    /** Evacuated failure domains. */
    EVACUATIONS,
}
