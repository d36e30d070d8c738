package fireflyhinge.forward

/**
 * A crash of a replica while a request with some trait had not begun to respond there.
 *
 * @property crash id of the crash, the same on all VMs.
 * @property request hash of the request.
 * @property requests requests that had not begun to respond there, as far as one VM knows.
 * @property ageMillis time since the crash.
 */
data class CrashSighting(val crash: String, val request: String, val requests: Int, val ageMillis: Long)
