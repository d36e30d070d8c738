package fireflyhinge.daemon.admin

import com.fasterxml.jackson.annotation.JsonProperty

/** A change that the store has confirmed: [objectName] (`kind/name`) has [version]. */
data class Change(
    @get:JsonProperty("object") val objectName: String,
    val version: Long,
    @get:JsonProperty("change_id") val changeId: String,
)
