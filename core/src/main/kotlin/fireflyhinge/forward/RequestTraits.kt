package fireflyhinge.forward

import fireflyhinge.auth.sha256Hex
import java.io.ByteArrayOutputStream

/**
 * Traits of one request.
 *
 * @property scope scope of the traits.
 * @property parts the parts of the prompt that other requests may share.
 * @param hash returns the hash of the request; called at most once, since it reads the whole body.
 */
class RequestTraits(val scope: String, val parts: Set<Trait>, hash: () -> String) {
    /** The request as a whole. */
    val whole: Trait by lazy(LazyThreadSafetyMode.NONE) { Trait(Trait.Kind.REQUEST, scope, hash()) }

    /** All traits. */
    val all: Set<Trait> get() = parts + whole

    /** Whether the request has all of [traits]. */
    fun containsAll(traits: Set<Trait>): Boolean =
        traits.all { it in parts || it.kind == Trait.Kind.REQUEST && it == whole }

    /** Creates traits of requests. */
    companion object {
        private const val MAX_PARTS = 64
        private const val HASH_CHARS = 16
        private const val MAX_SCOPE_CHARS = 64

        /** Traits of a request for [service] with [metadata]. [content] are the bytes that repeats of it share. */
        fun of(metadata: RequestMetadata, service: String, content: () -> List<ByteArray>): RequestTraits {
            val scope = (metadata.model ?: service).take(MAX_SCOPE_CHARS)
            val parts = metadata.promptParts.take(MAX_PARTS).mapNotNull { Trait.of(Trait.Kind.PART, scope, it) }
            return RequestTraits(scope, parts.toSet()) { hash(content()) }
        }

        private fun hash(content: List<ByteArray>): String {
            val bytes = ByteArrayOutputStream()
            content.forEach {
                bytes.writeBytes("${it.size}:".toByteArray())
                bytes.writeBytes(it)
            }
            return sha256Hex(bytes.toByteArray()).take(HASH_CHARS)
        }
    }
}
