package fireflyhinge.daemon.settings

/**
 * Checked settings of one daemon. [ALL] lists every setting with its allowed values.
 *
 * @property vm id of this VM in the platform's list.
 * @property seedPeers control addresses of VMs to ask while the VM list cannot be read.
 * @property maxRequests requests handled at once; each uses one thread.
 * @property addressTtlMillis lifetime of address answers in milliseconds.
 * @property drainLimitMillis longest wait for running requests at a graceful shutdown, in milliseconds.
 * @property traceEndpoint OTLP endpoint for spans, or empty for none.
 */
data class Settings(
    val vm: String,
    val region: String,
    val failureDomain: String,
    val listen: HostPort,
    val controlListen: HostPort,
    val store: HostPort,
    val seedPeers: List<HostPort>,
    val peerToken: String,
    val operatorToken: String,
    val maxRequests: Int,
    val addressTtlMillis: Long,
    val drainLimitMillis: Long,
    val policy: String,
    val traceEndpoint: String,
) {
    companion object {
        private const val MIN_TOKEN_LENGTH = 8
        private const val MILLIS_PER_SECOND = 1000L
        private val namePattern = Regex("[a-z0-9][a-z0-9.-]{0,62}")
        private const val NAME_RULE = "1 to 63 of a-z, 0-9, '.' and '-', starting with a letter or digit"
        private const val ADDRESS_RULE = "host:port with a port from 0 to 65535"
        private const val TOKEN_RULE = "at least $MIN_TOKEN_LENGTH characters"
        private val policies = setOf("reserve", "round-robin", "least-load")

        private val declared = mutableListOf<Setting<*>>()
        private val vm = setting("vm", "Id of this VM in the platform's list.", NAME_RULE, parse = ::name)
        private val region = setting("region", "Region of this VM.", NAME_RULE, parse = ::name)
        private val failureDomain =
            setting("failure-domain", "Failure domain of this VM.", NAME_RULE, parse = ::name)
        private val listen =
            setting("listen", "Address of the caller API.", ADDRESS_RULE, parse = HostPort::parse)
        private val controlListen =
            setting("control-listen", "Address of the control API.", ADDRESS_RULE, parse = HostPort::parse)
        private val store =
            setting("store", "Address of the platform store.", ADDRESS_RULE, parse = HostPort::parse)
        private val seedPeers =
            setting(
                name = "seed-peers",
                description = "Control addresses of VMs to ask while the VM list cannot be read.",
                allowed = "comma-separated host:port entries",
                default = "",
                parse = ::addresses,
            )
        private val peerToken =
            setting(
                name = "peer-token",
                description = "Secret shared by all daemons.",
                allowed = TOKEN_RULE,
                secret = true,
                parse = ::token,
            )
        private val operatorToken =
            setting(
                name = "operator-token",
                description = "Secret of the operators.",
                allowed = TOKEN_RULE,
                secret = true,
                parse = ::token,
            )
        private val maxRequests =
            number("max-requests", "Requests handled at once; each uses a thread.", 8L..8000L, default = 2000)
        private val addressTtl =
            number("address-ttl-s", "Lifetime of address answers in seconds.", 1L..300L, default = 10)
        private val drainLimit =
            number("drain-limit-s", "Longest wait for running requests at shutdown in seconds.", 1L..86_400L, 1800)
        private val policy =
            setting(
                name = "policy",
                description = "Placement policy; the two last ones are baselines for measurements.",
                allowed = policies.joinToString(),
                default = "reserve",
                parse = { text -> text.takeIf { it in policies } },
            )
        private val traceEndpoint =
            setting(
                name = "trace-endpoint",
                description = "OTLP/HTTP endpoint that receives spans; empty sends none.",
                allowed = "an http:// URL or empty",
                default = "",
                parse = { text -> text.takeIf { it.isEmpty() || it.startsWith("http://") } },
            )

        /** Every setting, in the order of the documentation. */
        val ALL: List<Setting<*>> = declared.toList()

        /** Checks [given], a map from setting name to text, and reports all faults at once. */
        fun read(given: Map<String, String?>): SettingsResult {
            val faults = mutableListOf<SettingFault>()
            val reader = SettingsReader(given, faults)
            val settings = reader.settings()
            return if (settings == null) SettingsResult.Invalid(faults.toList()) else SettingsResult.Valid(settings)
        }

        private class SettingsReader(val given: Map<String, String?>, val faults: MutableList<SettingFault>) {
            fun settings(): Settings? {
                // All settings are read before the first use, so that every fault is reported.
                val values = ALL.associateWith { it.read(given, faults) }
                if (faults.isNotEmpty()) return null

                @Suppress("UNCHECKED_CAST")
                fun <T : Any> value(setting: Setting<T>): T = values.getValue(setting) as T
                return Settings(
                    vm = value(vm),
                    region = value(region),
                    failureDomain = value(failureDomain),
                    listen = value(listen),
                    controlListen = value(controlListen),
                    store = value(store),
                    seedPeers = value(seedPeers),
                    peerToken = value(peerToken),
                    operatorToken = value(operatorToken),
                    maxRequests = value(maxRequests).toInt(),
                    addressTtlMillis = value(addressTtl) * MILLIS_PER_SECOND,
                    drainLimitMillis = value(drainLimit) * MILLIS_PER_SECOND,
                    policy = value(policy),
                    traceEndpoint = value(traceEndpoint),
                )
            }
        }

        private fun name(text: String): String? = text.takeIf { namePattern.matches(it) }

        private fun token(text: String): String? = text.takeIf { it.length >= MIN_TOKEN_LENGTH }

        private fun addresses(text: String): List<HostPort>? {
            val entries = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            val parsed = entries.mapNotNull { HostPort.parse(it) }
            return parsed.takeIf { it.size == entries.size }
        }

        private fun number(name: String, description: String, range: LongRange, default: Long): Setting<Long> =
            setting(name, description, "${range.first} to ${range.last}", default.toString()) { text ->
                text.toLongOrNull()?.takeIf { it in range }
            }

        private fun <T : Any> setting(
            name: String,
            description: String,
            allowed: String,
            default: String? = null,
            secret: Boolean = false,
            parse: (String) -> T?,
        ): Setting<T> = Setting(name, description, allowed, default, secret, parse).also { declared += it }
    }
}
