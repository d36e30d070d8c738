package fireflyhinge.daemon.admin

import com.fasterxml.jackson.annotation.JsonProperty
import fireflyhinge.result.Outcome

/** Error body of the admin API, in the form that callers get too. */
data class AdminError(val error: Detail) {
    /** Content of the error. */
    data class Detail(
        val code: String,
        val message: String,
        val type: String,
        val run: String,
        @get:JsonProperty("request_id") val requestId: String,
    )

    companion object {
        /** The error body for [failure]. */
        fun of(failure: Outcome.Failure, requestId: String): AdminError {
            val message = listOf(failure.code.text, failure.detail).filter { it.isNotBlank() }.joinToString(" ")
            val type = failure.code.name.lowercase()
            return AdminError(Detail(failure.code.label, message, type, failure.code.run.wireName, requestId))
        }
    }
}
