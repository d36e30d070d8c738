package fireflyhinge.daemon.settings

/** Result of reading the settings. */
sealed interface SettingsResult {
    /** All settings are valid. */
    data class Valid(val settings: Settings) : SettingsResult

    /** Every fault that was found. */
    data class Invalid(val faults: List<SettingFault>) : SettingsResult
}
