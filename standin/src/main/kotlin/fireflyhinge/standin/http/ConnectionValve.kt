package fireflyhinge.standin.http

import org.apache.catalina.connector.Request
import org.apache.catalina.connector.Response
import org.apache.catalina.valves.ValveBase
import org.apache.coyote.ActionCode
import java.io.IOException

/** Gives handlers a way to close the connection without an answer; the servlet API has none. */
internal class ConnectionValve : ValveBase(true) {
    override fun invoke(request: Request, response: Response) {
        val close = Runnable { response.coyoteResponse.action(ActionCode.CLOSE_NOW, IOException("fault control")) }
        request.setAttribute(CLOSE_ATTRIBUTE, close)
        next.invoke(request, response)
    }

    internal companion object {
        const val CLOSE_ATTRIBUTE = "fireflyhinge.standin.close"
    }
}
