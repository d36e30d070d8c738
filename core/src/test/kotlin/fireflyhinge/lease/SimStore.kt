package fireflyhinge.lease

import kotlin.random.Random

/** A store with delayed and lost replies, and with outages in which calls fail immediately or time out. */
internal class SimStore(private val events: SimEvents, private val random: Random) {
    /** Whether calls fail. */
    var down = false

    /** Whether replies are lost and writes delayed. */
    var lossy = false

    /** The stored map, or null before the first write. */
    var copy: VersionedShardMap? = null
        private set

    /** Reads the map. The first argument of [reply] tells whether the store answered. */
    fun read(reachable: () -> Boolean, reply: (Boolean, VersionedShardMap?) -> Unit) {
        events.after(delay()) {
            val answers = !down && reachable()
            val read = copy
            events.after(if (answers) delay() else SECOND) { reply(answers, read) }
        }
    }

    /** Applies [write] if its condition holds when it arrives, which may be after the timeout of the caller. */
    fun write(write: ShardMapWrite, reachable: () -> Boolean, reply: (SimWriteResult) -> Unit) {
        if (down && random.nextBoolean()) return reply(SimWriteResult.UNAVAILABLE)
        val lost = oneInFive()
        val arrival = if (oneInFive()) random.nextLong(6 * SECOND) else delay()
        val timeout = 3 * SECOND
        events.after(arrival) {
            val applied = !down && reachable()
            if (applied && copy?.version == write.version) copy = VersionedShardMap((write.version ?: 0) + 1, write.map)
            val answered = applied && !lost && arrival < timeout
            if (answered) events.after(delay()) { reply(SimWriteResult.ANSWERED) }
            if (!answered && arrival < timeout) events.after(timeout - arrival) { reply(SimWriteResult.UNKNOWN) }
        }
        if (arrival >= timeout) events.after(timeout) { reply(SimWriteResult.UNKNOWN) }
    }

    private fun oneInFive() = lossy && random.nextInt(5) == 0

    private fun delay() = random.nextLong(20 * MILLI)
}

/** The result of a write as the writer sees it. */
internal enum class SimWriteResult { ANSWERED, UNKNOWN, UNAVAILABLE }
