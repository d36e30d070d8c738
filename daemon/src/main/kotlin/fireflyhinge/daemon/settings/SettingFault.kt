package fireflyhinge.daemon.settings

import fireflyhinge.result.ResultCode

/** A fault in one setting. */
data class SettingFault(val code: ResultCode, val name: String, val value: String?, val allowed: String) {
    override fun toString(): String {
        val problem = if (value == null) "is missing" else "has the value \"$value\""
        return "${code.label} --$name $problem; allowed: $allowed"
    }
}
