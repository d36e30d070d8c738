package fireflyhinge.soak

/**
 * A whole request whose connection ended, or was [silent], before a whole answer had come. The caller had sent it
 * [waited] milliseconds before [at]; [part] is what came of the answer, or null for none.
 */
internal class Unanswered(val at: Long, val waited: Long, val part: Int?, val silent: Boolean = false)
