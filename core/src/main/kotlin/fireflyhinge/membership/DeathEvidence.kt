package fireflyhinge.membership

import fireflyhinge.store.VmEntry

/**
 * Evidence that processes can no longer run. A missing response is never evidence, since the process may be paused or
 * partitioned. Times are milliseconds of the monotonic clock. Not thread-safe.
 */
internal class DeathEvidence(private val selfId: String) {
    private val refusals = mutableMapOf<String, RefusalEvidence>()
    private val refused = mutableMapOf<String, EndedProcess>()
    private val fences = mutableMapOf<String, EndedProcess>()
    private val absentSince = mutableMapOf<String, Long>()
    private val removed = mutableMapOf<String, Long>()
    private var listed: Map<String, VmEntry> = emptyMap()

    /** VMs of the newest list. */
    val list: Collection<VmEntry> get() = listed.values

    /** Whether the newest list marks [id] as leaving. */
    fun leaving(id: String): Boolean = listed[id]?.leaving == true

    /** Whether [id] is proven to be removed from the VM list. */
    fun unlisted(id: String): Boolean = id in removed

    /**
     * Time at which the process of [id] with [incarnation] (0 for any) was certainly dead, or null without evidence.
     * The newest [known] incarnation was already running at [knownSince].
     */
    fun deadBy(id: String, incarnation: Long, known: Long, knownSince: Long): Long? {
        val subject = if (incarnation == 0L) known else incarnation
        val ended = listOfNotNull(fences[id], refused[id]).filter { it.incarnation >= subject }.map { it.by }
        val replaced = knownSince.takeIf { incarnation != 0L && known > incarnation }
        return (ended + listOfNotNull(removed[id], replaced)).minOrNull()
    }

    /** A connection attempt to [id], whose newest known incarnation is [known], was refused. */
    fun onRefused(id: String, known: Long, now: Long) {
        val evidence = refusals[id]?.next(now) ?: RefusalEvidence(firstAt = now, count = 1, lastAt = now)
        refusals[id] = evidence
        if (evidence.proven) refused.merge(id, EndedProcess(known, by = evidence.firstAt), EndedProcess::merge)
    }

    /** A connection attempt to [id] was not refused, or a message from it arrived. Earlier refusals prove nothing. */
    fun onNotRefused(id: String) {
        refusals.remove(id)
    }

    /** Ids with refused connections that are not proof yet and should be tried again. */
    fun refusing(): Set<String> = refusals.filterValues { !it.proven }.keys.toSet()

    /** An operator asserts that processes of [id] up to [incarnation] no longer run. Their time of death is unknown. */
    fun onFence(id: String, incarnation: Long, now: Long) {
        fences.merge(id, EndedProcess(incarnation, by = now), EndedProcess::merge)
    }

    /**
     * Applies a VM list. A VM is proven removed if it was listed before, two lists at least 2 s apart lack it and
     * [noSignOfLife] is true for it. A list that lacks this VM, although it was listed before, is faulty and ignored. A
     * list that is not [complete] only adds VMs.
     */
    fun onList(entries: List<VmEntry>, now: Long, complete: Boolean, noSignOfLife: (String) -> Boolean) {
        val next = (if (complete) emptyMap() else listed) + entries.associateBy { it.id }
        if (selfId in listed && selfId !in next) return
        (listed.keys - next.keys).forEach { absentSince.putIfAbsent(it, now) }
        absentSince.keys.removeAll(next.keys)
        removed.keys.removeAll(next.keys)
        val proven = absentSince.filter { (id, since) -> now - since >= ABSENCE_MILLIS && noSignOfLife(id) }.keys
        proven.forEach { removed.putIfAbsent(it, now) }
        listed = next
    }

    private companion object {
        const val ABSENCE_MILLIS = 2_000L
    }
}
