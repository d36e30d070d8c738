package fireflyhinge.gateway.http

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends until the operation has completed; throws [IOException] if it failed. */
internal suspend fun ChannelFuture.awaitCompletion() {
    if (isSuccess) return
    suspendCancellableCoroutine { continuation ->
        addListener { result ->
            if (result.isSuccess) {
                continuation.resume(Unit)
            } else {
                continuation.resumeWithException(IOException(result.cause()?.message ?: "the connection was closed"))
            }
        }
    }
}
