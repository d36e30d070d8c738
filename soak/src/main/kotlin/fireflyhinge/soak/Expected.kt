package fireflyhinge.soak

/** What replicas answer, derived from the request, so that each side knows it without the other. */
internal object Expected {
    /** Part of a prompt that crashes replicas. */
    const val DEADLY_PART = "dead"
    private const val SOUND_PARTS = 5
    private const val LONGEST_REPEAT = 400
    private const val FEWEST_EVENTS = 3
    private const val EVENT_SPREAD = 12

    /** Body of request [id]. */
    fun requestBody(id: String): String = "ask $id"

    /** Parts of the prompt of [request]; replicas crash when they begin to answer one with [DEADLY_PART]. */
    fun prompt(request: Sent): String {
        val part = if (request.deadly) DEADLY_PART else "c${spread(request.id, SOUND_PARTS)}"
        return listOf("a1", part, "own${request.id}").joinToString(",") { "$it:300" }
    }

    /** Body of the run of request [id] that has [stamp]. */
    fun answerBody(id: String, stamp: String): String = "$id|$stamp;".repeat(1 + spread(id, LONGEST_REPEAT))

    /** How many events the stream of request [id] has. */
    fun events(id: String): Int = FEWEST_EVENTS + spread(id, EVENT_SPREAD)

    /** Event [number] of request [id], counted from 1. */
    fun event(id: String, number: Int): String = "id: $number\ndata: $id.$number\n\n"

    private fun spread(id: String, count: Int) = Math.floorMod(id.hashCode(), count)
}
