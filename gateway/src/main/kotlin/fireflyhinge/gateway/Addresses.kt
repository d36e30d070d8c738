package fireflyhinge.gateway

import java.net.InetSocketAddress

/** The address as `host:port`. */
internal fun InetSocketAddress.text(): String = "$hostString:$port"
