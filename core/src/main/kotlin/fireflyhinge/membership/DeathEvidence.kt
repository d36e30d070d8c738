package fireflyhinge.membership

import fireflyhinge.store.VmEntry

/**
 * Evidence that processes can no longer run. It never comes from silence, since a silent process may be paused or
 * partitioned. Times are milliseconds of the monotonic clock; callers synchronize.
 */
internal class DeathEvidence(private val selfId: String) {
    private val refusals = mutableMapOf<String, RefusalEvidence>()
    private val refused = mutableMapOf<String, Long>()
    private val fences = mutableMapOf<String, Long>()
    private val absentSince = mutableMapOf<String, Long>()
    private val removed = mutableSetOf<String>()
    private var listed: Map<String, VmEntry> = emptyMap()

    /** VMs of the newest list. */
    val list: Collection<VmEntry> get() = listed.values

    /** Whether the newest list marks [id] as leaving. */
    fun leaving(id: String): Boolean = listed[id]?.leaving == true

    /** Whether the process of [id] with [incarnation] is proven to have ended, given the newest [known] incarnation. */
    fun proves(id: String, incarnation: Long, known: Long): Boolean {
        val subject = if (incarnation == 0L) known else incarnation
        return id in removed ||
            (incarnation != 0L && known > incarnation) ||
            (fences[id] ?: NEVER) >= subject ||
            (refused[id] ?: NEVER) >= subject
    }

    /** A connection attempt to [id], whose newest known incarnation is [known], was refused. */
    fun onRefused(id: String, known: Long, now: Long) {
        val evidence = refusals[id]?.next(now) ?: RefusalEvidence(firstAt = now, count = 1, lastAt = now)
        refusals[id] = evidence
        if (evidence.proven) refused.merge(id, known, ::maxOf)
    }

    /** An attempt ended in another way, or the VM was heard from, so refusals seen before prove nothing. */
    fun onNotRefused(id: String) {
        refusals.remove(id)
    }

    /** Ids with refused attempts that are not proof yet; they are to be tried again. */
    fun refusing(): Set<String> = refusals.filterValues { !it.proven }.keys.toSet()

    /** An operator asserts that processes of [id] up to [incarnation] do not run. */
    fun onFence(id: String, incarnation: Long) {
        fences.merge(id, incarnation, ::maxOf)
    }

    /**
     * Takes over a VM list. A VM is proven gone if it was listed before, two lists at least 2 s apart lack it and
     * [silent] holds for it. A list without this VM itself, though it was listed before, is faulty and proves nothing.
     */
    fun onList(entries: List<VmEntry>, now: Long, silent: (String) -> Boolean) {
        val next = entries.associateBy { it.id }
        if (selfId in listed && selfId !in next) return
        (listed.keys - next.keys).forEach { absentSince.putIfAbsent(it, now) }
        absentSince.keys.removeAll(next.keys)
        removed.removeAll(next.keys)
        removed += absentSince.filter { (id, since) -> now - since >= ABSENCE_MILLIS && silent(id) }.keys
        listed = next
    }

    private companion object {
        const val NEVER = -1L
        const val ABSENCE_MILLIS = 2_000L
    }
}
