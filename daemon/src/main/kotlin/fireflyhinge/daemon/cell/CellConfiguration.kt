package fireflyhinge.daemon.cell

import fireflyhinge.config.Upstream

/** What a cell takes from the configuration: its replicas, and the workspaces' rates as weights. */
internal data class CellConfiguration(val upstreams: List<Upstream>, val weights: Map<String, Double>)
