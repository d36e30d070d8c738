package fireflyhinge.daemon.lease

import fireflyhinge.lease.Candidate
import fireflyhinge.lease.RegionView
import fireflyhinge.lease.ShardMapDiff
import fireflyhinge.lease.VersionedShardMap
import org.slf4j.LoggerFactory

/** Logs what decides where the region's shards are: the VMs that may own them, and each change of the map. */
internal class ShardLog {
    private var candidates: List<Candidate>? = null

    /** Logs the candidates of [view] if they differ from those of the last call. Runs in one thread. */
    fun candidates(view: RegionView) {
        if (view.candidates == candidates) return
        candidates = view.candidates
        log.info("VMs that may own shards: {}", view.candidates.map { it.process.vm })
    }

    /** The map [after] was learned in place of [before]. */
    fun learned(before: VersionedShardMap?, after: VersionedShardMap) =
        log.info("shard map version {}: {}", after.version, ShardMapDiff(before?.map, after.map))

    private companion object {
        val log = LoggerFactory.getLogger(ShardLog::class.java)
    }
}
