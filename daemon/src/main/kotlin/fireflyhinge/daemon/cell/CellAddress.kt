package fireflyhinge.daemon.cell

import fireflyhinge.schedule.CellKey

/** A cell and the region it belongs to. */
internal data class CellAddress(val region: String, val cell: CellKey)
