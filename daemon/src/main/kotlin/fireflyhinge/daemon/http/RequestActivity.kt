package fireflyhinge.daemon.http

import org.apache.catalina.connector.Request
import org.apache.catalina.connector.Response
import org.apache.catalina.valves.ValveBase
import java.util.concurrent.atomic.AtomicInteger

/** Counts requests in flight and announces the close of a draining listener on every answer. */
internal class RequestActivity : ValveBase(true) {
    private val count = AtomicInteger()

    @Volatile
    private var announced = false

    val inFlight: Int get() = count.get()

    val draining: Boolean get() = announced

    fun drain() {
        announced = true
    }

    override fun invoke(request: Request, response: Response) {
        count.incrementAndGet()
        try {
            if (announced) response.setHeader("Connection", "close")
            getNext().invoke(request, response)
        } finally {
            count.decrementAndGet()
        }
    }
}
