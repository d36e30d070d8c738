package fireflyhinge.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Result of admitting a request under one configuration version. [workspace] is null on a public route. */
data class Admission(val route: ForwardRoute, val workspace: ForwardWorkspace?, val configVersion: Long) {
    /** Regions whose replicas may serve the request; null if all may. */
    val homeRegions: Set<String>? = homeRegions(listOf(route.allowedRegions, workspace?.allowedRegions.orEmpty()))

    /** Tokens charged to the workspace for the request. */
    fun cost(metadata: RequestMetadata): Int {
        val owner = workspace ?: return 0
        return if (owner.chargesTokens) metadata.tokens ?: owner.defaultCost else 1
    }

    /** Admits requests against a configuration. */
    companion object {
        /** Finds the route of [uri] at [host] and the workspace that owns the API key in [metadata]. */
        fun of(config: ForwardConfig, host: String, uri: String, metadata: RequestMetadata): Outcome<Admission> {
            val route = config.table.find(host, uri) ?: return Outcome.Failure(ResultCode.UNKNOWN_ROUTE)
            if (route.isPublic) return located(Admission(route, workspace = null, config.version))
            val key = metadata.key ?: return Outcome.Failure(ResultCode.KEY_ABSENT)
            val name = config.keys[key]
            if (name in config.invalidWorkspaces) return Outcome.Failure(ResultCode.WORKSPACE_INVALID)
            val owner = config.workspaces[name] ?: return Outcome.Failure(ResultCode.KEY_UNKNOWN)
            return located(Admission(route, owner, config.version))
        }

        private fun located(admission: Admission): Outcome<Admission> {
            if (admission.homeRegions?.isEmpty() == true) return Outcome.Failure(ResultCode.NO_COMMON_REGION)
            return Outcome.Success(admission)
        }
    }
}
