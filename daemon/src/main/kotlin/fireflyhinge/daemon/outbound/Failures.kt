package fireflyhinge.daemon.outbound

import java.io.IOException

/** Type and message for logs and results. */
internal fun IOException.summary(): String = listOfNotNull(javaClass.simpleName, message).joinToString(separator = ": ")
