package fireflyhinge.lease

import java.util.zip.CRC32

/** Assigns keys to shards. The result is the same on every daemon and every JVM version. */
object ShardHash {
    /** The shard of [key] if there are [count] shards. */
    fun shardOf(key: String, count: Int): Int = (hash(key) % count).toInt()

    /** A stable hash of [text], also used to break ties. */
    fun hash(text: String): Long = CRC32().apply { update(text.toByteArray()) }.value
}
