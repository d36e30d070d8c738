package fireflyhinge.lease

import fireflyhinge.store.ObjectName

/** Value of the store object `shards/<region>`: the entries of all shards, by shard number. */
data class ShardMap(val region: String, val shards: List<ShardEntry>) {
    /** The map after [changes], which are keyed by shard number. */
    fun with(changes: Map<Int, ShardEntry>): ShardMap =
        copy(shards = shards.mapIndexed { i, entry -> changes[i] ?: entry })

    /** Names of the store objects that hold shard maps. */
    companion object {
        /** Kind of the store objects. */
        const val KIND = "shards"

        /** Name of the object that holds the map of [region]. */
        fun nameOf(region: String): ObjectName = ObjectName(kind = KIND, name = region)
    }
}
