package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** A validation error of a configuration object: the [field] and what is allowed there. */
data class ConfigError(val code: ResultCode, val field: String, val problem: String) {
    override fun toString(): String = "${code.label} $field: $problem"
}
