package fireflyhinge.address

import com.fasterxml.jackson.annotation.JsonProperty

/** Caller address (`host:port`) of one VM. */
data class CallerAddress(
    val address: String,
    val vm: String,
    @get:JsonProperty("failure_domain") val failureDomain: String,
    val region: String,
)
