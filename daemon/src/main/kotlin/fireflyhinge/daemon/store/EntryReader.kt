package fireflyhinge.daemon.store

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.databind.exc.MismatchedInputException
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WatchBatch
import org.slf4j.LoggerFactory

/** Reads the store's lists entry by entry, since others write them too: an unreadable entry costs only itself. */
internal object EntryReader {
    /** Levels of an entry; a value of the platform's largest size, 1 MB, cannot have more. */
    private const val MAX_LEVELS = 1_000_000
    private const val MAX_CHARACTERS = OutboundHttp.MAX_ANSWER_BYTES.toInt()
    private val log = LoggerFactory.getLogger(EntryReader::class.java)

    // Finds where entries end. The limits for what is taken from an entry are those of Json.mapper.
    private val skipping =
        JsonFactory.builder()
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_LEVELS)
                    .maxNumberLength(MAX_CHARACTERS)
                    .maxNameLength(MAX_CHARACTERS)
                    .maxStringLength(MAX_CHARACTERS)
                    .build(),
            ).build()

    /** Readable entries of a list; [whole] tells whether that is all of them. */
    data class Entries<T>(val values: List<T>, val whole: Boolean)

    /** Reads the list [text]; [fits] tells which of the decoded entries can be used. */
    fun <T : Any> list(text: String, type: Class<T>, fits: (T) -> Boolean = { true }): Entries<T> =
        skipping.createParser(text).use { parser ->
            parser.nextToken()
            entries(parser, text, type, fits).also { expect(parser, parser.nextToken() == null) }
        }

    /** Reads the answer [text] to a watch. */
    fun watch(text: String): WatchBatch =
        skipping.createParser(text).use { parser ->
            var objects: List<StoredObject>? = null
            var position: Long? = null
            expect(parser, parser.nextToken() == JsonToken.START_OBJECT)
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                val field = parser.currentName()
                val token = parser.nextToken()
                when (field) {
                    "objects" -> objects = entries(parser, text, StoredObject::class.java) { true }.values
                    "position" -> {
                        expect(parser, token == JsonToken.VALUE_NUMBER_INT)
                        position = parser.longValue
                    }
                    else -> parser.skipChildren()
                }
            }
            expect(parser, parser.nextToken() == null && objects != null && position != null)
            WatchBatch(objects.orEmpty(), position ?: 0)
        }

    private fun <T : Any> entries(parser: JsonParser, text: String, type: Class<T>, fits: (T) -> Boolean): Entries<T> {
        expect(parser, parser.currentToken() == JsonToken.START_ARRAY)
        val values = mutableListOf<T>()
        var whole = true
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, parser.currentToken() != null)
            val value = entry(parser, text, type)
            val usable = value != null && fits(value)
            if (value != null && !usable) log.warn("an entry of a list of the store cannot be used: {}", value)
            if (value != null && usable) values += value else whole = false
        }
        return Entries(values, whole)
    }

    private fun <T : Any> entry(parser: JsonParser, text: String, type: Class<T>): T? {
        val start = parser.currentTokenLocation().charOffset.toInt()
        val isObject = parser.currentToken() == JsonToken.START_OBJECT
        parser.skipChildren()
        return try {
            expect(parser, isObject)
            Json.decode(text.substring(start, parser.currentLocation().charOffset.toInt()), type)
        } catch (e: JsonProcessingException) {
            log.warn("an entry of a list of the store is no {}: {}", type.simpleName, e.originalMessage)
            null
        }
    }

    private fun expect(parser: JsonParser, condition: Boolean) {
        if (!condition) throw MismatchedInputException.from(parser, List::class.java, "not in the store's format")
    }
}
