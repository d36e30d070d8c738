package fireflyhinge.daemon.settings

import fireflyhinge.result.ResultCode

/**
 * One setting of the daemon, given as flag `--<name>` or environment variable `FIREFLYHINGE_<NAME>`; the flag wins.
 *
 * @property allowed what values are allowed, for messages and documentation.
 * @property default text used when the setting is not given; null makes it required.
 * @property secret whether the value must not be shown.
 * @property parse converts the text, or returns null when it is not allowed.
 */
class Setting<T : Any>(
    val name: String,
    val description: String,
    val allowed: String,
    val default: String? = null,
    val secret: Boolean = false,
    private val parse: (String) -> T?,
) {
    /** Name of the environment variable. */
    val variable: String get() = "FIREFLYHINGE_" + name.uppercase().replace('-', '_')

    /** Reads the setting from [given] and adds any fault to [faults]; the result is null only with a fault. */
    internal fun read(given: Map<String, String?>, faults: MutableList<SettingFault>): T? {
        val text = given[name] ?: default
        if (text == null) {
            faults += SettingFault(ResultCode.SETTING_MISSING, name, value = null, allowed)
            return null
        }
        val value = parse(text)
        if (value == null) faults += SettingFault(ResultCode.SETTING_INVALID, name, shown(text), allowed)
        return value
    }

    private fun shown(text: String): String = if (secret) "(not shown)" else text
}
