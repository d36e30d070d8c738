package fireflyhinge.store

/** Condition under which the platform store accepts a write. */
sealed interface WriteCondition {
    /** The object must not exist. */
    data object Absent : WriteCondition

    /** The object must have exactly this [version]. */
    data class AtVersion(val version: Long) : WriteCondition
}
