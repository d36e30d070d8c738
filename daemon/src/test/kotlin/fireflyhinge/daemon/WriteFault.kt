package fireflyhinge.daemon

/** What happens to a write in [MemoryStore]. */
enum class WriteFault { NONE, REQUEST_LOST, REPLY_LOST }
