package fireflyhinge.daemon.cell

import fireflyhinge.schedule.CellKey

/** A cell of a region. */
internal data class CellAddress(val region: String, val cell: CellKey)
