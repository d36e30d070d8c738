package fireflyhinge.gateway.http

import java.util.concurrent.TimeUnit

/** Monotonic clock in milliseconds. */
internal fun monotonicMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
