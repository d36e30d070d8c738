package fireflyhinge

import com.fasterxml.jackson.databind.JsonNode

/** The value of this node, or null if it is not a whole number in [range]. */
fun JsonNode.longIn(range: LongRange): Long? =
    if (isNumber && canConvertToExactIntegral() && canConvertToLong()) longValue().takeIf { it in range } else null

/** The value of this node, or null if it is not a number in [range]. */
fun JsonNode.doubleIn(range: ClosedRange<Double>): Double? =
    if (isNumber) doubleValue().takeIf { it in range } else null

/** The value of this node, or null if it is not a string. */
fun JsonNode.textOrNull(): String? = if (isTextual) textValue() else null
