package fireflyhinge.gateway

import fireflyhinge.forward.Replica
import java.net.InetSocketAddress

/** The address as `host:port`. */
internal fun InetSocketAddress.text(): String = "$hostString:$port"

/** The replica in a log line. */
internal fun Replica.brief(): String = "$id $stage $failureDomain${if (leaving) " leaving" else ""}"
