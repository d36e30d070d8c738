package fireflyhinge.daemon.quota

import fireflyhinge.config.ConfigSource
import fireflyhinge.quota.QuotaLimits
import fireflyhinge.quota.RegionShares
import fireflyhinge.quota.ShareRaiseDelay

/** Limits of the quota buckets of [region] in the current configuration. Thread-safe. */
internal class LimitSource(
    private val config: ConfigSource,
    private val region: String,
    private val regions: () -> Set<String>,
) {
    private val raiseDelay = ShareRaiseDelay()

    /** Limits of [workspace], or null if the configuration of this daemon does not contain it. */
    fun of(workspace: String, now: Long): QuotaLimits? {
        val resolved = config.current().workspaces[workspace] ?: return null
        val configured = RegionShares.shareOf(resolved, region, regions())
        val share = synchronized(raiseDelay) { raiseDelay.effectiveShare(workspace, configured, now) }
        return QuotaLimits.of(resolved, share)
    }

    /** Limits of the known workspaces for which [condition] holds, by name. */
    fun all(now: Long, condition: (String) -> Boolean): Map<String, QuotaLimits> =
        config.current().workspaces.keys
            .filter(condition)
            .mapNotNull { name -> of(name, now)?.let { name to it } }
            .toMap()
}
