package fireflyhinge.address

import java.net.URI
import java.net.URISyntaxException

/** Validates `host:port` addresses. */
object HostPortValidator {
    private const val LABEL = "[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
    private val hostPattern = Regex("$LABEL(?:\\.$LABEL)*:[0-9]{1,5}")
    private val ipv6Pattern = Regex("\\[[0-9A-Fa-f:.]+]:[0-9]{1,5}")
    private val ports = 1..65_535

    /** Whether [address] names a host (a name, an IPv4 address or an IPv6 address in brackets) and a port. */
    fun isValid(address: String): Boolean =
        address.substringAfterLast(':').toIntOrNull() in ports &&
            (hostPattern.matches(address) || isIpv6Literal(address))

    private fun isIpv6Literal(address: String): Boolean =
        ipv6Pattern.matches(address) &&
            try {
                URI("http://$address").host != null
            } catch (_: URISyntaxException) {
                false
            }
}

private operator fun IntRange.contains(value: Int?): Boolean = value != null && value in first..last
