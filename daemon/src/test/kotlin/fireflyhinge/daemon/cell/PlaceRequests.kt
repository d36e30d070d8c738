package fireflyhinge.daemon.cell

import fireflyhinge.config.Priority
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceRequest

/** A batch request of [vm]. */
internal fun placeRequest(id: String, vm: String = "vm", maxWaitMillis: Long = 5_000) =
    PlaceRequest(
        requestId = id,
        attempt = 1,
        holder = Holder(vm, 1),
        service = "m",
        workspace = "w",
        failureDomain = "d",
        priority = Priority.BATCH,
        promptTokens = 100,
        maxOutputTokens = 100,
        prefixHashes = emptyList(),
        maxWaitMillis = maxWaitMillis,
        fingerprint = id,
    )
