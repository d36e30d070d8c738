package fireflyhinge.config

/** Applies templates to workspaces. */
object TemplateResolver {
    /** Values of parameters that neither the workspace nor its template sets. No model is allowed by default. */
    val DEFAULTS =
        WorkspaceParameters(
            rate = 10_000.0,
            burst = 100_000.0,
            models = emptyList(),
            priority = Priority.INTERACTIVE,
            regionShares = emptyMap(),
            serveWhenIsolated = false,
        )

    /** The parameters of [workspace], then of [template], then [DEFAULTS]. */
    fun resolve(workspace: Workspace, template: Template): ResolvedWorkspace {
        val layers = listOf(workspace.parameters, template.parameters, DEFAULTS)
        return ResolvedWorkspace(
            name = workspace.name,
            rate = layers.firstNotNullOf { it.rate },
            burst = layers.firstNotNullOf { it.burst },
            models = layers.firstNotNullOf { it.models }.toSet(),
            priority = layers.firstNotNullOf { it.priority },
            regionShares = layers.firstNotNullOf { it.regionShares },
            serveWhenIsolated = layers.firstNotNullOf { it.serveWhenIsolated },
            keyHashes = workspace.keyHashes,
        )
    }

    /** Validation errors of the resolved workspace, for example a burst that is too small for the template's rate. */
    fun errors(workspace: Workspace, template: Template): List<ConfigError> =
        ParameterValidator.errors(resolve(workspace, template))
}
