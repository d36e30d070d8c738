package fireflyhinge.forward

/**
 * Kinds of objects in the platform's store.
 *
 * @property writtenByOperator whether the operator writes the objects; otherwise replicas or this system do.
 */
enum class StoreObjectKind(val writtenByOperator: Boolean = false) {
    /** The configuration. */
    CONFIGURATION(writtenByOperator = true),

    /** The list of replicas. */
    REPLICAS,

    /** The VMs of this system. */
    VMS,

    /** Evidence on traits of requests that crash replicas. */
    CRASHES,

    /** Evacuated failure domains. */
    EVACUATIONS(writtenByOperator = true),

    /** Recent software versions of each service. */
    VERSIONS,

    /** Where recent streams began, as known to each VM. */
    STREAMS,
}
