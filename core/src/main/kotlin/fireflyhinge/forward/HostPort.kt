package fireflyhinge.forward

/** Addresses of the form `host:port`. */
object HostPort {
    private val pattern = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
    private const val MAX_OCTET = 255
    private val PORTS = 1..65_535

    /** First octets of unicast addresses; the others are reserved or multicast. */
    private val UNICAST = 1..223

    /** Whether [text] is a unicast IPv4 address and port that can be connected to. */
    fun isUsable(text: String): Boolean {
        val numbers = pattern.matchEntire(text)?.groupValues?.drop(1)?.map { it.toInt() } ?: return false
        val octets = numbers.dropLast(1)
        return octets.first() in UNICAST && octets.all { it <= MAX_OCTET } && numbers.last() in PORTS
    }
}
