package fireflyhinge.config

/** Store kinds that every daemon holds a copy of. */
object ConfigKinds {
    const val TEMPLATES = "templates"
    const val WORKSPACES = "workspaces"
    const val ROUTES = "routes"
    const val UPSTREAMS = "upstreams"
    const val SHARDS = "shards"
    const val FENCES = "fences"

    /** Kinds that make up [ConfigSnapshot]. */
    val CONFIGURATION = listOf(TEMPLATES, WORKSPACES, ROUTES, UPSTREAMS)

    /** All kinds that are copied to every daemon; claims are not. */
    val COPIED = CONFIGURATION + listOf(SHARDS, FENCES)
}
