package fireflyhinge.schedule

/** Classes of waiting requests, highest precedence first. Minimum weights are served regardless of this order. */
internal enum class QueueClass {
    /** Interactive requests that can still meet the first-token target, and interactive retries. */
    ON_TIME,

    /** Interactive requests that can no longer meet the first-token target. */
    LATE,

    /** Requests of batch priority. */
    BATCH,
}
