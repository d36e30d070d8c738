package fireflyhinge.daemon.admin

import com.fasterxml.jackson.annotation.JsonInclude

/** A granted key. [key] is set only if this daemon generated it; it is shown this once and kept nowhere. */
@JsonInclude(JsonInclude.Include.NON_NULL)
data class GrantedKey(val key: String?, val hash: String, val change: Change) {
    override fun toString(): String = "GrantedKey(hash=$hash, change=$change)"
}
