package fireflyhinge.schedule

/** Classes of waiting requests, in the order in which they are served beyond their minimum weights. */
internal enum class QueueClass {
    /** Interactive requests that can meet the first-token target, and interactive retries. */
    ON_TIME,

    /** Interactive requests that can no longer meet the first-token target. */
    LATE,

    /** Requests of batch priority. */
    BATCH,
}
