package fireflyhinge.forward

/**
 * Decides how long a prefill may take before the prompt is sent to another prefill replica. The first replica then
 * discards its work. Under load it only has a queue, and so has the other one: prompts that are moved then load both.
 */
object PrefillTimeout {
    /**
     * Time-out in milliseconds of a prefill that may be retried, if [objectiveMillis] are left of the request's latency
     * objective. A retry that comes too late for the objective is made only if the replica may have failed.
     */
    fun retryableMillis(objectiveMillis: Long): Long =
        if (RETRY_MILLIS + PREFILL_MILLIS <= objectiveMillis) RETRY_MILLIS else LAST_MILLIS

    /** Time-out if no other replica can prefill instead; healthy replicas may pause for about 1 s. */
    const val LAST_MILLIS = 1_500L

    /** The longest prompt takes 0.2 s on an idle replica; the rest allows for a queue. */
    const val RETRY_MILLIS = 800L

    /** Prefill and first token of a mean prompt at a replica with a short queue. */
    private const val PREFILL_MILLIS = 300L
}
