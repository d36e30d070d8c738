package fireflyhinge.daemon.outbound

import java.io.IOException
import java.net.ConnectException

/** Whether the host answered that no process listens on the port. */
internal fun IOException.isRefusedConnection(): Boolean =
    generateSequence<Throwable>(this) { it.cause }.any { it is ConnectException && "refused" in it.message.orEmpty() }

/** Type and message for logs and results. */
internal fun IOException.summary(): String = listOfNotNull(javaClass.simpleName, message).joinToString(separator = ": ")
