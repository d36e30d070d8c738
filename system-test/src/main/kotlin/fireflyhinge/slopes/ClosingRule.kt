package fireflyhinge.slopes

import fireflyhinge.daemon.http.HttpHost
import java.time.Duration

/** How a server under test stops. Both rules keep the listener open until callers have dropped its address. */
internal enum class ClosingRule(val text: String) {
    /** The server closes connections by itself as soon as it handles no request. */
    PLAIN("plain close of idle connections") {
        override fun stop(host: HttpHost, addressMillis: Long) {
            Thread.sleep(addressMillis)
            while (host.inFlight > 0) Thread.onSpinWait()
            host.close(Duration.ZERO)
        }
    },

    /** The server announces the close on its answers, and waits until the callers have left. */
    ANNOUNCED("announced close") {
        override fun stop(host: HttpHost, addressMillis: Long) {
            host.drain()
            Thread.sleep(addressMillis)
            host.close(GRACE)
        }
    }, ;

    /** Stops [host]; callers drop its address within [addressMillis]. */
    abstract fun stop(host: HttpHost, addressMillis: Long)

    private companion object {
        val GRACE: Duration = Duration.ofSeconds(5)
    }
}
