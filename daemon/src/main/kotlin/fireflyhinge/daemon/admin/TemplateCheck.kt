package fireflyhinge.daemon.admin

import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigError
import fireflyhinge.config.ConfigKinds
import fireflyhinge.config.ConfigObject
import fireflyhinge.config.Template
import fireflyhinge.config.TemplateResolver
import fireflyhinge.config.Workspace

/** Checks that a template leaves the workspaces that use it valid. */
internal class TemplateCheck(private val held: () -> ConfigCopy) {
    /** Faults that the workspaces held by this daemon would have with template [value]. */
    fun errors(value: ConfigObject): List<ConfigError> {
        val template = value as? Template ?: return emptyList()
        val copy = held()
        return copy.stored(ConfigKinds.WORKSPACES)
            .mapNotNull { copy.parsed(it.name) as? Workspace }
            .filter { it.template == template.name && !it.deleted }
            .flatMap { workspace ->
                TemplateResolver.errors(workspace, template).map { it.copy(field = "${workspace.name}.${it.field}") }
            }
    }
}
