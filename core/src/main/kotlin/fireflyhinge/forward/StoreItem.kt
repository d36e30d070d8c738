package fireflyhinge.forward

/** An object in the platform's store. [body] is in the platform's own format. */
data class StoreItem(val name: String, val revision: Long, val body: String)
