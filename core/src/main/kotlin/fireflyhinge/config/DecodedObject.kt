package fireflyhinge.config

/** Result of decoding a configuration object: [value] is null unless [faults] is empty. */
data class DecodedObject(val value: ConfigObject?, val faults: List<ConfigFault>)
