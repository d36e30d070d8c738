package fireflyhinge.engine

/**
 * The engines' protocol. One instance serves all engines; each call names the engine's `host:port`. Calls block; a
 * call made in a thread that is interrupted returns [EngineFailure.Cancelled].
 */
interface EngineClient {
    /** Reads a prompt; returns when the KV cache is ready. */
    fun prefill(address: String, request: PrefillRequest, timeoutMillis: Long): EngineResult<PrefillResult>

    /** Moves the KV cache to the decode replica at [address]; returns when the import is complete. */
    fun importKv(address: String, request: ImportRequest, timeoutMillis: Long): EngineResult<Unit>

    /**
     * Streams the answer to [onEvent] in index order and returns after [DecodeEvent.End]. The stream fails as
     * [EngineFailure.Broken] when no event arrives for [progressMillis]. [onEvent] returns false to stop the stream.
     */
    fun decode(
        address: String,
        request: DecodeRequest,
        progressMillis: Long,
        onEvent: (DecodeEvent) -> Boolean,
    ): EngineResult<DecodeEvent.End>

    /** Frees whatever the engine holds for [id]; unknown ids succeed. */
    fun cancel(address: String, id: EngineRequestId): EngineResult<Unit>

    /** Reads the load report. */
    fun load(address: String): EngineResult<EngineLoad>

    /** Lists the requests that hold memory. */
    fun held(address: String): EngineResult<List<HeldRequest>>

    /**
     * Gives an order. [permitted] is asked once the connection is open, just before the first byte is sent; if it is
     * false the result is [EngineFailure.Unreachable]. The connection is closed if the answer takes over 1 s.
     */
    fun order(address: String, order: EngineOrder, permitted: () -> Boolean = { true }): EngineResult<Unit>
}
