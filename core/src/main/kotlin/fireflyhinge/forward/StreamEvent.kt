package fireflyhinge.forward

/**
 * One complete event of a stream.
 *
 * @property number its `id` field, or null if it has none or has a malformed line.
 * @property bytes the unmodified event including the terminating empty line.
 * @property comment whether it consists of comments only.
 */
class StreamEvent(val number: Long?, val bytes: ByteArray, val comment: Boolean = false)
