package fireflyhinge.daemon.service

/** Answer of a plain service. Header names keep their case; a name may occur more than once. */
class ServiceAnswer(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray)
