package fireflyhinge.membership

/** A member with default values for tests. */
internal fun vm(id: String, incarnation: Long = 1, heartbeat: Long = 1) =
    Member(
        id = id,
        region = "r",
        failureDomain = "d",
        callerAddress = "$id:1",
        controlAddress = "$id:2",
        incarnation = incarnation,
        heartbeat = heartbeat,
    )
