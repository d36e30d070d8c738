package fireflyhinge.engine

import fireflyhinge.config.Priority

/**
 * Asks a decode replica to fetch a KV cache from the prefill replica at [sourceAddress] and to reserve a slot for it.
 */
data class ImportRequest(
    val id: EngineRequestId,
    val holder: Holder,
    val ticket: String,
    val sourceAddress: String,
    val kvHandle: String,
    val priority: Priority = Priority.INTERACTIVE,
)
