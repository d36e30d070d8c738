package fireflyhinge.gateway.http

/**
 * Collects a body in blocks. Unlike a growing array, it takes little more memory than the bytes until [toByteArray],
 * and unlike a list of what arrived, it does so however short the pieces are.
 */
internal class BodyBuffer {
    private val blocks = ArrayList<ByteArray>()

    /** Bytes of the last block that are used. */
    private var used = 0

    /** Bytes collected. */
    var size = 0
        private set

    /** Adds a copy of [bytes]. */
    fun add(bytes: ByteArray) {
        var from = 0
        while (from < bytes.size) {
            if (blocks.isEmpty() || used == blocks.last().size) addBlock(bytes.size - from)
            val block = blocks.last()
            val length = minOf(bytes.size - from, block.size - used)
            bytes.copyInto(block, used, from, from + length)
            from += length
            used += length
            size += length
        }
    }

    private fun addBlock(wanted: Int) {
        blocks += ByteArray(maxOf(wanted, size).coerceIn(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES))
        used = 0
    }

    /** The whole body. */
    fun toByteArray(): ByteArray {
        val body = ByteArray(size)
        var position = 0
        for (block in blocks) {
            val length = minOf(block.size, size - position)
            block.copyInto(body, position, 0, length)
            position += length
        }
        return body
    }

    /** Discards everything. */
    fun clear() {
        blocks.clear()
        used = 0
        size = 0
    }

    private companion object {
        const val MIN_BLOCK_BYTES = 256
        const val MAX_BLOCK_BYTES = 16 * 1024
    }
}
