package fireflyhinge.gateway.http

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends until the operation is done; throws [IOException] if it failed. */
internal suspend fun ChannelFuture.done() {
    if (isSuccess) return
    suspendCancellableCoroutine { waiting ->
        addListener { result ->
            if (result.isSuccess) {
                waiting.resume(Unit)
            } else {
                waiting.resumeWithException(IOException(result.cause()?.message ?: "the connection was closed"))
            }
        }
    }
}
