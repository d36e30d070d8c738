package fireflyhinge

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.exc.MismatchedInputException
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.module.kotlin.KotlinFeature
import com.fasterxml.jackson.module.kotlin.kotlinModule

/**
 * JSON codec of all messages and stored objects. Unknown fields are ignored, so that daemons of different versions can
 * run together.
 */
object Json {
    /** The mapper; thread-safe. */
    val mapper: ObjectMapper =
        JsonMapper.builder()
            .addModule(kotlinModule { enable(KotlinFeature.NewStrictNullChecks) })
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true)
            .build()

    /** Encodes [value] as JSON text. */
    fun encode(value: Any): String = mapper.writeValueAsString(value)

    /** Decodes [text] as [T]; throws `JsonProcessingException` if it does not match. */
    inline fun <reified T : Any> decode(text: String): T = decode(text, T::class.java)

    /** Decodes [text] as a [type]; throws `JsonProcessingException` if it does not match or is `null`. */
    fun <T : Any> decode(text: String, type: Class<T>): T =
        mapper.readValue(text, type)
            ?: throw MismatchedInputException.from(null as JsonParser?, type, "null is not a valid value")
}
