package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.CrashSighting
import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.SoundResponses
import fireflyhinge.forward.Trait
import fireflyhinge.forward.TraitReport
import fireflyhinge.gateway.DeduplicatingLogger
import fireflyhinge.longIn
import fireflyhinge.textOrNull
import org.slf4j.LoggerFactory

/** JSON codec of evidence on crashes, in messages between VMs and in the store. Invalid entries are skipped. */
internal object EvidenceCodec {
    private val mapper = ObjectMapper()
    private val log = DeduplicatingLogger(LoggerFactory.getLogger(EvidenceCodec::class.java))
    private val AGES = 0..CrashEvidence.RETENTION_MILLIS
    private val REQUESTS = 1..1_000_000L
    private const val MAX_REQUEST_CHARS = 64
    private const val MAX_RESPONSE_CHARS = 16

    fun encode(report: EvidenceReport): ObjectNode {
        val root = mapper.createObjectNode()
        val traits = root.putArray("traits")
        report.traits.forEach { told ->
            val node = traits.addObject().put("trait", told.trait.toString())
            told.soundAgeMillis?.let { node.put("sound_age", it) }
            val crashes = node.putArray("crashes")
            told.sightings.forEach {
                crashes.addObject().put("crash", it.crash).put("request", it.request)
                    .put("requests", it.requests).put("age", it.ageMillis)
            }
        }
        val sound = root.putObject("sound_ages")
        report.soundAgesMillis.forEach { (scope, ages) ->
            val node = sound.putObject(scope)
            ages.forEach { (response, age) -> node.put(response, age) }
        }
        return root
    }

    fun decode(bytes: ByteArray): EvidenceReport = decode(mapper.readTree(bytes))

    /** Decodes [root]; ages are [olderMillis] more than it states. */
    fun decode(root: JsonNode, olderMillis: Long = 0): EvidenceReport =
        EvidenceReport(
            traits = root.path("traits").take(CrashEvidence.MAX_REPORTED).mapNotNull { trait(it, olderMillis) },
            soundAgesMillis =
            root.path("sound_ages").properties().take(SoundResponses.MAX_SCOPES)
                .associate { (scope, ages) -> scope to responses(ages, olderMillis) },
        )

    private fun responses(node: JsonNode, olderMillis: Long): Map<String, Long> =
        node.properties().take(SoundResponses.MAX_RESPONSES).mapNotNull { (response, age) ->
            age(age, olderMillis)?.takeIf { response.length <= MAX_RESPONSE_CHARS }?.let { response to it }
        }.toMap()

    private fun trait(node: JsonNode, olderMillis: Long): TraitReport? {
        val text = node.path("trait").textOrNull()?.takeIf { it.length <= Trait.MAX_CHARS }
        val trait = text?.let(Trait::parse)
        val sightings = node.path("crashes").mapNotNull { sighting(it, olderMillis) }
        if (trait != null && sightings.size == node.path("crashes").size()) {
            return TraitReport(trait, sightings, age(node.path("sound_age"), olderMillis))
        }
        log.warn("trait $text", null, "ignored invalid evidence on crashes")
        return null
    }

    private fun sighting(node: JsonNode, olderMillis: Long): CrashSighting? {
        val crash = node.path("crash").textOrNull()?.takeIf { it.length in 1..CrashEvidence.MAX_CRASH_CHARS }
        val request = node.path("request").textOrNull()?.takeIf { it.length in 1..MAX_REQUEST_CHARS }
        val requests = node.path("requests").longIn(REQUESTS)?.toInt()
        val age = age(node.path("age"), olderMillis)
        if (crash == null || request == null) return null
        return if (requests == null || age == null) null else CrashSighting(crash, request, requests, age)
    }

    private fun age(node: JsonNode, olderMillis: Long): Long? = node.longIn(AGES)?.let { it + olderMillis }
}
