package fireflyhinge.forward

import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/**
 * Division of the limit of one cold replica among VMs. Each of the [holders] sends at most once in [spacingMillis].
 * About a third of the limit is kept for VMs that consider themselves holders because their view lacks others.
 */
internal data class ColdShare(val holders: Int, val perHolder: Int, val spacingMillis: Long) {
    companion object {
        private const val SECOND_MILLIS = 1_000.0

        /** Two thirds of the limit are used, so that half as many VMs again may hold a share by mistake. */
        private const val RESERVE_FACTOR = 1.5

        /** Returns the division of [limit] requests per second in a fleet of [vms], or null if nothing may be sent. */
        fun of(limit: Double, vms: Int): ColdShare? {
            if (!limit.isFinite() || limit <= 0) return null
            // Below one request per second no division can keep the bound in each second; the rate is kept.
            if (limit < 1) return ColdShare(1, 1, (SECOND_MILLIS / limit).toLong() + 1)
            val whole = floor(min(limit, Int.MAX_VALUE / 2.0)).toInt()
            val holders = max(1, min(floor(limit / RESERVE_FACTOR).toInt(), vms))
            val mistaken = min((holders + 1) / 2, whole - holders)
            val perHolder = whole / (holders + mistaken)
            // Longer than the quotient, so that no more than perHolder sends fall into one second, ends included.
            return ColdShare(holders, perHolder, (SECOND_MILLIS / perHolder).toLong() + 1)
        }
    }
}
