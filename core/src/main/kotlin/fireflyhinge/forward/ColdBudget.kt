package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * This VM's part of the requests that cold replicas tolerate. For each replica the same few VMs hold a share: those
 * that come first in an order derived from the replica's id (rendezvous hashing). Each keeps a minimum time between its
 * sends. A VM counts as a member for [MEMBER_MILLIS] after it was last live, so that partitions and freezes do not
 * make others take over its shares. This VM sends nothing for [HOLD_OFF_MILLIS] after its start or a freeze, until the
 * others know it and it knows them. Thread-safe.
 *
 * If each VM's members lack at most `d` of the VMs that send, at most `holders + d` VMs send to a replica, each at most
 * its share. [ColdShare] keeps this within the bound for `d` up to half the number of holders.
 */
class ColdBudget(
    private val self: String,
    private val bounds: ColdBounds,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private class Member(val firstLiveAt: Long, val hash: Long) {
        var lastLiveAt = firstLiveAt

        val expiresAt: Long
            get() = lastLiveAt + if (lastLiveAt - firstLiveAt < CONFIRMED_MILLIS) UNCONFIRMED_MILLIS else MEMBER_MILLIS
    }

    /** Share and sends of this VM at one replica. [share] holds for the [version] of the members. */
    private class Account {
        var version = -1L
        var perSecond = 0.0
        var share: ColdShare? = null
        var sentAt: Long? = null
        var usedAt = 0L
        val claims = ArrayDeque<Long>()
    }

    private val members = HashMap<String, Member>()
    private val ownHash = hash(self)
    private var version = 0L
    private var updatedAt: Long? = null
    private var usableFrom = Long.MAX_VALUE
    private val accounts = HashMap<String, Account>()

    /** Whether this VM may use its shares: it is neither new nor just resumed, and its members are up to date. */
    val usable: Boolean @Synchronized get() = usable(clock.millis())

    /**
     * Sets the other VMs that are [live] in this VM's view. Must be called several times per second; a gap of more than
     * [MAX_UPDATE_AGE_MILLIS] counts as a freeze. Not called until this VM has learned of the others.
     */
    @Synchronized
    fun update(live: Collection<String>) {
        val now = clock.millis()
        val last = updatedAt
        if (last == null || now - last > MAX_UPDATE_AGE_MILLIS) usableFrom = now + HOLD_OFF_MILLIS
        updatedAt = now
        var changed = false
        for (name in live) {
            if (name == self) continue
            val known = members[name]
            if (known == null) {
                members[name] = Member(now, hash(name))
                changed = true
            } else {
                known.lastLiveAt = now
            }
        }
        changed = members.values.removeIf { it.expiresAt < now } || changed
        if (changed) version++
        accounts.values.removeIf { now - it.usedAt > UNUSED_ACCOUNT_MILLIS }
    }

    /** Whether a request may be directed to cold [replica] now; its service tolerates [perSecond] requests. */
    @Synchronized
    fun permits(replica: String, perSecond: Double): Boolean = waitMillis(replica, perSecond) == 0L

    /**
     * Milliseconds until a request may be directed to cold [replica], or null if this VM holds no share of it.
     */
    @Synchronized
    fun waitMillis(replica: String, perSecond: Double): Long? {
        val now = clock.millis()
        val account = account(replica, perSecond, now)
        val share = account.share ?: return null
        val updated = updatedAt ?: return null
        if (now - updated > MAX_UPDATE_AGE_MILLIS) return null
        val free = account.sentAt?.let { it + share.spacingMillis } ?: now
        val unclaimed = if (account.claims.size < maxClaims(share)) now else account.claims.first()
        return maxOf(0, maxOf(free, unclaimed, usableFrom) - now)
    }

    /**
     * Reserves a send to [replica] for a request that needs some time before it is sent, such as for its prefill.
     * Expires after [CLAIM_MILLIS]. Returns false if [permits] does.
     */
    @Synchronized
    fun claim(replica: String, perSecond: Double): Boolean {
        if (!permits(replica, perSecond)) return false
        val now = clock.millis()
        account(replica, perSecond, now).claims.addLast(now + CLAIM_MILLIS)
        return true
    }

    /**
     * Takes one send to [replica]; to be called immediately before it. False if the request must not be sent now.
     * [claimed] is true if the request made a [claim].
     */
    @Synchronized
    fun tryAcquire(replica: String, perSecond: Double, claimed: Boolean = false): Boolean {
        val now = clock.millis()
        val account = account(replica, perSecond, now)
        if (claimed) account.claims.removeFirstOrNull()
        if (!permits(replica, perSecond)) return false
        account.sentAt = now
        return true
    }

    private fun usable(now: Long): Boolean =
        now >= usableFrom && updatedAt?.let { now - it <= MAX_UPDATE_AGE_MILLIS } == true

    private fun account(replica: String, perSecond: Double, now: Long): Account {
        val account = accounts.getOrPut(replica) { Account() }
        account.usedAt = now
        while (account.claims.isNotEmpty() && account.claims.first() <= now) account.claims.removeFirst()
        if (account.version != version || account.perSecond != perSecond) {
            account.version = version
            account.perSecond = perSecond
            account.share =
                ColdShare.of(bounds.limit(perSecond), members.size + 1)?.takeIf { rank(replica) < it.holders }
        }
        return account
    }

    /** Position of this VM among the members in the order for [replica]. */
    private fun rank(replica: String): Int {
        val seed = hash(replica)
        val own = mix(seed xor ownHash)
        return members.count { (name, member) ->
            val other = mix(seed xor member.hash)
            other < own || other == own && name < self
        }
    }

    private fun maxClaims(share: ColdShare): Int = maxOf(1, share.perHolder / CLAIMS_DIVISOR)

    /** Times for which views of other VMs count. */
    companion object {
        /** Time within which a new VM and the others learn of each other by exchanges. */
        const val HOLD_OFF_MILLIS = 5_000L

        /** Longer than a partition or a restart, in which a VM that is not heard may go on to use its share. */
        const val MEMBER_MILLIS = 300_000L

        /**
         * The store also lists VMs that ended long ago, which count as live for less than this time. They are kept
         * shorter, but longer than a usual partition, since all VMs may be cut off from each other when they start.
         */
        private const val CONFIRMED_MILLIS = 6_000L
        private const val UNCONFIRMED_MILLIS = 90_000L

        /** Longer than the pauses of a process on a slow machine. */
        const val MAX_UPDATE_AGE_MILLIS = 1_500L

        /** Time from the choice of a decode replica to its request: a reservation and the longest usual prefill. */
        const val CLAIM_MILLIS = 1_000L

        /** Requests spend about a quarter of a second in a prefill. */
        private const val CLAIMS_DIVISOR = 4
        private const val UNUSED_ACCOUNT_MILLIS = 60_000L

        private const val HASH_OFFSET = -3_750_763_034_362_895_579L
        private const val HASH_PRIME = 1_099_511_628_211L
        private const val MIX_SHIFT = 33
        private const val MIX_FACTOR = -49_064_778_989_728_563L
        private const val MIX_FACTOR_2 = -4_265_267_296_055_464_877L

        /** FNV-1a. The same on all VMs and builds. */
        private fun hash(text: String): Long =
            text.fold(HASH_OFFSET) { hash, char -> (hash xor char.code.toLong()) * HASH_PRIME }

        /** Finalizer of MurmurHash3, which spreads similar values over the whole range. */
        private fun mix(value: Long): Long {
            var bits = value
            bits = (bits xor (bits ushr MIX_SHIFT)) * MIX_FACTOR
            bits = (bits xor (bits ushr MIX_SHIFT)) * MIX_FACTOR_2
            return bits xor (bits ushr MIX_SHIFT)
        }
    }
}
