package fireflyhinge.forward

/**
 * What a caller tells in an address lookup; null where it does not.
 *
 * @property host host to which it will send requests.
 * @property region region of the caller.
 * @property failureDomain failure domain of the caller.
 */
data class AddressQuery(val host: String?, val region: String?, val failureDomain: String?)
