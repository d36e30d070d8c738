package fireflyhinge.forward

/**
 * One whole event of a stream.
 *
 * @property number its `id` field, or null if it has none.
 * @property bytes the event as it came, with the empty line that ends it.
 */
class StreamEvent(val number: Long?, val bytes: ByteArray)
