package fireflyhinge.config

/** An object that an operator writes through the admin API. */
sealed interface ConfigObject {
    /** Name, unique within the kind. */
    val name: String

    /** Identifies the operator's change that wrote this version. */
    val changeId: String

    /** True for a tombstone. */
    val deleted: Boolean
}
