package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.JsonNode

/** One object as an operator sees it. */
data class ListedObject(val name: String, val version: Long, val value: JsonNode)
