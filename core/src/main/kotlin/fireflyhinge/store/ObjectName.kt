package fireflyhinge.store

/** Name of an object in the platform store: a kind such as `workspaces` and a name unique within it. */
data class ObjectName(val kind: String, val name: String) : Comparable<ObjectName> {
    override fun compareTo(other: ObjectName): Int = compareValuesBy(this, other, { it.kind }, { it.name })

    override fun toString(): String = "$kind/$name"
}
