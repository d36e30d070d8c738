package fireflyhinge.forward

/** Objects of one kind in the platform's store, as text that its adapter can read. */
data class StoreItem(val name: String, val revision: Long, val body: String)
