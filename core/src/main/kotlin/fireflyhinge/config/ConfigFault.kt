package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** One fault of a configuration object: the [field] at fault and what is allowed there. */
data class ConfigFault(val code: ResultCode, val field: String, val problem: String) {
    override fun toString(): String = "${code.label} $field: $problem"
}
