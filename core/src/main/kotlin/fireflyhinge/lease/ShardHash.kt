package fireflyhinge.lease

import java.util.zip.CRC32

/** Assigns keys to shards, the same on every daemon and in every version of the JVM. */
object ShardHash {
    /** Shard of [key] among [count] shards. */
    fun shardOf(key: String, count: Int): Int = (hash(key) % count).toInt()

    /** A stable hash of [text] that orders equally good choices. */
    fun hash(text: String): Long = CRC32().apply { update(text.toByteArray()) }.value
}
