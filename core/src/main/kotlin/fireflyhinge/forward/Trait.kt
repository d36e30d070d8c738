package fireflyhinge.forward

/**
 * A property that requests share and that may be why replicas crash: a part of the prompt, or the request as a whole.
 *
 * @property scope what [id] is unique in: the model, or the service of requests without one.
 * @property id id of the part, or a hash of the request.
 */
data class Trait(val kind: Kind, val scope: String, val id: String) {
    /** Kinds of traits. */
    enum class Kind(internal val prefix: Char) {
        /** A part of the prompt. */
        PART('p'),

        /** The request as a whole; only repeats share it. */
        REQUEST('r'),
    }

    /** Unambiguous text of at most [MAX_CHARS] characters, which [parse] reads. */
    override fun toString(): String = "${kind.prefix}/$id/$scope"

    /** Creates traits. */
    companion object {
        private const val MAX_ID_CHARS = 64
        private const val MAX_SCOPE_CHARS = 64

        /** Length of the longest text of a trait. */
        const val MAX_CHARS = MAX_ID_CHARS + MAX_SCOPE_CHARS + 3

        /** Returns a trait, or null if [id] or [scope] is too long or [id] contains a slash. */
        fun of(kind: Kind, scope: String, id: String): Trait? {
            val valid = id.length in 1..MAX_ID_CHARS && '/' !in id && scope.length <= MAX_SCOPE_CHARS
            return if (valid) Trait(kind, scope, id) else null
        }

        /** Returns the trait with the text [text], or null if there is none. */
        fun parse(text: String): Trait? {
            val kind = Kind.entries.find { text.startsWith("${it.prefix}/") } ?: return null
            val rest = text.drop(2)
            return if ('/' in rest) of(kind, rest.substringAfter('/'), rest.substringBefore('/')) else null
        }
    }
}
