package fireflyhinge.daemon.cell

import fireflyhinge.config.Upstream

/** The part of the configuration that a cell uses: its replicas, and the weights of the workspaces from their rates. */
internal data class CellConfiguration(val upstreams: List<Upstream>, val weights: Map<String, Double>)
