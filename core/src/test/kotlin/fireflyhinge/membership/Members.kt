package fireflyhinge.membership

/** A VM with small defaults. */
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
