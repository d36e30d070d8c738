package fireflyhinge

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper

/** JSON codec of all messages and stored objects. Unknown fields are ignored so that versions can be mixed. */
object Json {
    /** Thread-safe mapper. */
    val mapper: ObjectMapper =
        jacksonObjectMapper()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true)

    /** Encodes [value] as JSON text. */
    fun encode(value: Any): String = mapper.writeValueAsString(value)

    /** Decodes [text] as [T]; throws `JsonProcessingException` when it does not fit. */
    inline fun <reified T> decode(text: String): T = mapper.readValue(text, T::class.java)
}
