package fireflyhinge.forward

import kotlin.math.exp

/**
 * Estimates the load and the speed of one replica from its reports and from this VM's own requests. Thread-safe;
 * times are monotonic milliseconds.
 */
class ReplicaLoadEstimate(private val createdAt: Long) {
    /**
     * @property fill expected running and queued requests per slot.
     * @property slots request slots.
     * @property pace expected time for a unit of work relative to the usual one of the replica's machine.
     * @property confidence weight of [fill], which decreases from 1 with the age of the report; 0 without a report.
     * @property serviceMillis mean time of an own request at the usual pace.
     * @property samples number of requests behind [serviceMillis], at most [MAX_SAMPLES].
     */
    class Snapshot(
        val fill: Double,
        val slots: Int,
        val pace: Double,
        val confidence: Double,
        val serviceMillis: Double,
        val samples: Double,
    )

    private var report: ReplicaLoad? = null
    private var reportedAt = 0L

    private var fillAverage = 0.0
    private var meanPace = 1.0
    private var reports = 0.0
    private var sentSinceReport = 0
    private var serviceMillis = 0.0
    private var samples = 0.0

    /** Reported requests per slot, averaged over some seconds; null without a report. */
    val meanFill: Double? @Synchronized get() = if (report == null) null else fillAverage

    /** Records a request of this VM sent to the replica. */
    @Synchronized
    fun sent() {
        sentSinceReport++
    }

    /** Records the [load] reported by a replica that is listed with [listedSlots]. */
    @Synchronized
    fun reported(load: ReplicaLoad, listedSlots: Int, now: Long) {
        val first = report == null
        val weight = if (first) 1.0 else 1 - exp(-(now - reportedAt) / MEAN_MILLIS)
        fillAverage += (fill(load, listedSlots) - fillAverage) * weight
        load.pace?.let { meanPace += (it / PERCENT - meanPace) * if (first) FIRST_PACE_WEIGHT else weight }
        report = load
        reports = minOf(reports + 1, MAX_SAMPLES)
        reportedAt = now
        sentSinceReport = 0
    }

    /** Records that an own request took [millis] at the replica. */
    @Synchronized
    fun served(millis: Double) {
        val report = report
        // Queueing says nothing about the replica's speed.
        if (report == null || report.waiting > 0) return
        samples = minOf(samples + 1, MAX_SAMPLES)
        serviceMillis += (millis * PERCENT / (report.pace ?: USUAL_PACE) - serviceMillis) / samples
    }

    /** Returns the estimate for a replica with [listedSlots] and [open] own requests. */
    @Synchronized
    fun at(now: Long, listedSlots: Int, open: Int): Snapshot {
        val starting = 1 + (START_PACE - 1) * maxOf(0.0, 1 - (now - createdAt) / START_MILLIS)
        val load = report
        if (load == null) {
            val slots = maxOf(1, listedSlots)
            return Snapshot(open.toDouble() / slots, slots, starting, confidence = 0.0, serviceMillis, samples)
        }
        val age = now - reportedAt
        val slots = slots(load, listedSlots)
        val reported = fillAverage + (fill(load, listedSlots) - fillAverage) * exp(-age / LOAD_DECAY_MILLIS)
        val requests = maxOf(reported * slots + minOf(sentSinceReport, open), open.toDouble())
        val pace = load.pace?.let { meanPace + (it / PERCENT - meanPace) * exp(-age / PACE_DECAY_MILLIS) } ?: 1.0
        val confidence = confidence(age)
        return Snapshot(requests / slots, slots, maxOf(pace, starting), confidence, serviceMillis, samples)
    }

    /** A recent report counts fully, an older one only as part of an average of many. */
    private fun confidence(age: Long): Double {
        val recent = exp(-age / RECENT_MILLIS)
        return recent + (1 - recent) * exp(-age / CONFIDENCE_MILLIS) * reports / (reports + PRIOR_REPORTS)
    }

    private fun fill(load: ReplicaLoad, listedSlots: Int): Double =
        minOf((load.running.toDouble() + load.waiting) / slots(load, listedSlots), MAX_FILL)

    private fun slots(load: ReplicaLoad, listedSlots: Int): Int {
        val listed = maxOf(1, listedSlots)
        return if (load.slots > 0 && load.slots / MAX_SLOT_FACTOR <= listed) load.slots else listed
    }

    private companion object {
        const val PERCENT = 100.0
        const val USUAL_PACE = 100

        /** Requests end and phases of a machine pass within this time; then the averages say more than a report. */
        const val LOAD_DECAY_MILLIS = 250.0
        const val PACE_DECAY_MILLIS = 400.0

        /** Averages over several phases of a machine; 3 s gave 5 % more late requests in the simulation. */
        const val MEAN_MILLIS = 10_000.0

        /** The first report may come from a short slow phase. */
        const val FIRST_PACE_WEIGHT = 0.3

        /** Reports that arrive regularly are at most this old. */
        const val RECENT_MILLIS = 1_000.0

        /** Reports of a replica that outweigh the expectation that it is as loaded as the others. */
        const val PRIOR_REPORTS = 3.0

        /** After some such times without a report, a replica is expected to be as loaded as the others. */
        const val CONFIDENCE_MILLIS = 10_000.0

        /** Limits the time for which an absurd report keeps requests away. */
        const val MAX_FILL = 4.0

        /** A replica does not have many times the slots that it is listed with. */
        const val MAX_SLOT_FACTOR = 4

        const val MAX_SAMPLES = 20.0

        /** A replica is slower while it starts. */
        const val START_PACE = 2.5
        const val START_MILLIS = 5_000.0
    }
}
