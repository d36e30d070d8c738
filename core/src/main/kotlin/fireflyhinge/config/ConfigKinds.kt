package fireflyhinge.config

/** Kinds of stored objects that every daemon keeps a copy of. */
object ConfigKinds {
    const val TEMPLATES = "templates"
    const val WORKSPACES = "workspaces"
    const val ROUTES = "routes"
    const val UPSTREAMS = "upstreams"
    const val SHARDS = "shards"
    const val FENCES = "fences"

    /** Kinds that make up [ConfigSnapshot]. */
    val CONFIGURATION = listOf(TEMPLATES, WORKSPACES, ROUTES, UPSTREAMS)

    /** All kinds that are replicated to every daemon; claims are not. */
    val REPLICATED = CONFIGURATION + listOf(SHARDS, FENCES)
}
