package fireflyhinge.gateway.http

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * TCP options of outbound connections. Frequent keep-alive probes close a connection whose other end does not respond
 * within [IDLE_SECONDS] + [PROBES] x [INTERVAL_SECONDS] = 3 s, less than the platform's `contactMs`.
 */
internal object SocketOptions {
    private const val IDLE_SECONDS = 1
    private const val INTERVAL_SECONDS = 1
    private const val PROBES = 2

    /** Options and their values. */
    val outbound: Map<ChannelOption<*>, Any> =
        mapOf(
            ChannelOption.TCP_NODELAY to true,
            ChannelOption.SO_KEEPALIVE to true,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE) to IDLE_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL) to INTERVAL_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT) to PROBES,
        )
}
