package fireflyhinge.gateway

import fireflyhinge.forward.Replica
import java.net.InetSocketAddress

/** Formats the address as `host:port`. */
internal fun InetSocketAddress.toHostPort(): String = "$hostString:$port"

/** Formats the replica for log lines. */
internal fun Replica.toLogText(): String =
    listOfNotNull(id, stage, failureDomain, version.ifEmpty { null }, "leaving".takeIf { leaving }).joinToString(" ")
