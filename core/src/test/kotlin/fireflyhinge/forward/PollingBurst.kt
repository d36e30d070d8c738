package fireflyhinge.forward

/** VMs that ask the replicas every 50 ms until 0.8 of the target has elapsed, each without knowing of the others. */
internal class PollingBurst(seed: Long, load: BurstLoad) : BurstSimulation(seed, load) {
    override fun reserve(request: Request) {
        val replica = views[request.vm].best(request)
        when {
            replica != null -> ask(replica, request) { if (it) granted(request, replica) else reserve(request) }
            now + POLL_MILLIS > request.sent + WAIT_MILLIS ->
                refused(request, random.nextLong(MIN_RETURN_MILLIS, 2 * MIN_RETURN_MILLIS))
            else -> after(POLL_MILLIS) { reserve(request) }
        }
    }

    private companion object {
        const val POLL_MILLIS = 50L
        const val WAIT_MILLIS = 720L
        const val MIN_RETURN_MILLIS = 2_250L
    }
}
