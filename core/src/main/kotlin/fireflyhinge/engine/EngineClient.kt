package fireflyhinge.engine

/**
 * Client of the engine protocol. One instance serves all engines; each call takes the engine's `host:port`. Calls
 * block; a call in an interrupted thread returns [EngineFailure.Cancelled].
 */
interface EngineClient {
    /** Runs the prefill of a prompt; returns when the KV cache is ready. */
    fun prefill(address: String, request: PrefillRequest, timeoutMillis: Long): EngineResult<PrefillResult>

    /** Transfers the KV cache to the decode replica at [address]; returns when the import is complete. */
    fun importKv(address: String, request: ImportRequest, timeoutMillis: Long): EngineResult<Unit>

    /**
     * Streams the answer to [onEvent] in index order and returns after [DecodeEvent.End]. The stream fails with
     * [EngineFailure.Broken] if no event arrives for [progressMillis]. [onEvent] returns false to stop the stream.
     */
    fun decode(
        address: String,
        request: DecodeRequest,
        progressMillis: Long,
        onEvent: (DecodeEvent) -> Boolean,
    ): EngineResult<DecodeEvent.End>

    /** Frees everything that the engine holds for [id]; succeeds for an unknown id. */
    fun cancel(address: String, id: EngineRequestId): EngineResult<Unit>

    /** Reads the load report. */
    fun readLoad(address: String): EngineResult<EngineLoad>

    /** Lists the requests that hold memory at the engine. */
    fun listHeldRequests(address: String): EngineResult<List<HeldRequest>>

    /**
     * Sends an order. [permitted] is called when the connection is open, just before the first byte is sent; if it
     * returns false, the result is [EngineFailure.Unreachable]. The connection is closed if the response takes over 1
     * s.
     */
    fun sendOrder(address: String, order: EngineOrder, permitted: () -> Boolean = { true }): EngineResult<Unit>
}
