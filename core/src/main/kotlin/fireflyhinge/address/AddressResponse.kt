package fireflyhinge.address

import com.fasterxml.jackson.annotation.JsonProperty

/**
 * Response of `GET /v1/addresses`.
 *
 * @property addresses up to three entries; the caller uses the first and falls back to the others.
 * @property ttlSeconds how long the caller may use the addresses.
 */
data class AddressResponse(
    val addresses: List<CallerAddress>,
    @get:JsonProperty("ttl_seconds") val ttlSeconds: Double,
)
