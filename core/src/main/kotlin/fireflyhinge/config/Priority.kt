package fireflyhinge.config

/** Priority class of a workspace's requests. */
enum class Priority {
    /** Must start within the first-token target or be refused. */
    INTERACTIVE,

    /** May wait in the queue for minutes. */
    BATCH,
}
