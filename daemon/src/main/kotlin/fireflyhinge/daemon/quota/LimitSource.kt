package fireflyhinge.daemon.quota

import fireflyhinge.config.ConfigSource
import fireflyhinge.quota.QuotaLimits
import fireflyhinge.quota.RegionShares
import fireflyhinge.quota.ShareRaiseDelay

/** The limits that the newest configuration gives the buckets of [region]. Thread-safe. */
internal class LimitSource(
    private val config: ConfigSource,
    private val region: String,
    private val regions: () -> Set<String>,
) {
    private val history = ShareRaiseDelay()

    /** Limits of [workspace], or null if this daemon does not know it. */
    fun of(workspace: String, now: Long): QuotaLimits? {
        val resolved = config.current().workspaces[workspace] ?: return null
        val wanted = RegionShares.shareOf(resolved, region, regions())
        val share = synchronized(history) { history.effectiveShare(workspace, wanted, now) }
        return QuotaLimits.of(resolved, share)
    }

    /** Limits of the known workspaces for which [condition] holds, by name. */
    fun all(now: Long, condition: (String) -> Boolean): Map<String, QuotaLimits> =
        config.current().workspaces.keys
            .filter(condition)
            .mapNotNull { name -> of(name, now)?.let { name to it } }
            .toMap()
}
