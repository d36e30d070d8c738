package fireflyhinge.daemon.wire

import com.fasterxml.jackson.annotation.JsonFormat
import com.fasterxml.jackson.annotation.JsonTypeInfo
import com.fasterxml.jackson.databind.BeanDescription
import com.fasterxml.jackson.databind.JavaType
import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json

/** Lists the names that a type has in JSON as the mapper writes and reads them: one line for each value in it. */
internal object JsonShape {
    /** Lines `path: form` of [type] below [path]; a property that is only written or only read is marked. */
    fun of(path: String, type: JavaType): List<String> =
        when {
            type.isEnumType -> listOf("$path: ${constants(type.rawClass)}")
            type.isMapLikeType -> of("$path{${key(type.keyType)}}", type.contentType)
            type.isContainerType -> of("$path[]", type.contentType)
            type.rawClass.isAnnotationPresent(JsonTypeInfo::class.java) -> subtypes(path, type)
            type.rawClass.name.startsWith("fireflyhinge.") -> properties(path, type)
            else -> listOf("$path: ${type.rawClass.simpleName}")
        }

    private fun key(type: JavaType): String =
        if (type.isEnumType) constants(type.rawClass) else type.rawClass.simpleName

    private fun constants(type: Class<*>): String =
        type.enumConstants.joinToString(separator = "|") { Json.mapper.valueToTree<JsonNode>(it).asText() }

    private fun subtypes(path: String, type: JavaType): List<String> {
        val property = type.rawClass.getAnnotation(JsonTypeInfo::class.java).property
        val config = Json.mapper.serializationConfig
        val introspector = config.annotationIntrospector
        return type.rawClass.permittedSubclasses.flatMap { subtype ->
            val named = introspector.findTypeName(config.introspectClassAnnotations(subtype).classInfo)
            of("$path<$property=${named ?: subtype.simpleName}>", Json.mapper.constructType(subtype))
        }
    }

    private fun properties(path: String, type: JavaType): List<String> {
        val array = type.rawClass.getAnnotation(JsonFormat::class.java)?.shape == JsonFormat.Shape.ARRAY
        val written = properties(Json.mapper.serializationConfig.introspect(type))
        val read = properties(Json.mapper.deserializationConfig.introspect(type))
        val names = if (array) written.keys.toList() else (written.keys + read.keys).sorted()
        return names.flatMapIndexed { i, name ->
            val mark = if (name !in read) " (written)" else if (name !in written) " (read)" else ""
            of("$path${if (array) "[$i]" else ""}.$name$mark", written[name] ?: read.getValue(name))
        }
    }

    private fun properties(bean: BeanDescription): Map<String, JavaType> =
        bean.findProperties().associate { it.name to it.primaryType }
}
