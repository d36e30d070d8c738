package fireflyhinge.config

/** Result of decoding a configuration object: [value] is null unless [errors] is empty. */
data class DecodedObject(val value: ConfigObject?, val errors: List<ConfigError>)
