package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ServiceVersions
import fireflyhinge.forward.StreamOrigin
import fireflyhinge.forward.StreamOrigins
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Tells a few other VMs at which software version this VM's streams began, and asks them for streams that a caller
 * continues here. While a service has several versions, they are the first of a rendezvous hash for each stream. With
 * one version, nobody has to ask; but this VM may be lost before it learns of a second one. So the same few VMs get
 * copies for all of its streams, in fewer messages.
 */
internal class StreamOriginExchange(
    private val origins: StreamOrigins,
    private val versions: ServiceVersions,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
    private val recorders: StreamRecorders,
    private val stored: StreamOriginStore,
) {
    /**
     * Where a stream began, or null. If not [complete], a VM that may know was not heard.
     *
     * @property asked number of other VMs that were asked.
     * @property heard number of them that replied, or do not run.
     */
    class Finding(val origin: StreamOrigin?, val complete: Boolean, val asked: Int = 0, val heard: Int = 0) {
        /** Whether most of the VMs that may know were heard, so that this VM is not cut off from the others. */
        val connected: Boolean get() = heard * 2 > asked || asked == 0
    }

    private val log = LoggerFactory.getLogger(javaClass)

    /** Tells other VMs of new streams until cancelled. */
    suspend fun run(): Nothing =
        repeatForever(log, "telling where streams began") {
            delay(if (origins.allTold) IDLE_MILLIS else BATCH_MILLIS)
            val untold = origins.takeUntold { versions.only(it) == null }
            untold.keys
                .flatMap { id -> recorders.othersOf(id, HOLDERS).map { it to id } }
                .groupBy({ it.first }, { it.second })
                .forEach { (vm, ids) -> scope.launch { tell(vm, ids.associateWith(untold::getValue)) } }
        }

    /** Copies new streams to other VMs until cancelled. */
    suspend fun runCopies(): Nothing =
        repeatForever(log, "copying where streams began") {
            delay(COPY_MILLIS)
            val begun = origins.takeUncopied()
            if (begun.isNotEmpty()) recorders.ofSelf(HOLDERS).forEach { vm -> scope.launch { tell(vm, begun) } }
        }

    /** Where stream [id] of a caller began, as far as this VM and those that it asks know. */
    suspend fun find(id: String): Finding {
        val loaded = stored.awaitLoaded()
        origins.find(id)?.let { return Finding(it, complete = true) }
        val asked = recorders.knowing(id, MAX_ASKED)
        return coroutineScope {
            val answers = Channel<Finding>(asked.size)
            asked.forEach { vm -> launch { answers.send(ask(vm, id)) } }
            val findings = ArrayList<Finding>()
            while (findings.size < asked.size && findings.none { it.origin != null }) findings += answers.receive()
            coroutineContext.cancelChildren()
            val origin = findings.firstNotNullOfOrNull { it.origin }?.also { origins.told(mapOf(id to it)) }
            Finding(
                origin,
                complete = loaded && asked.isNotEmpty() && findings.all { it.complete },
                asked = asked.size,
                heard = findings.sumOf { it.heard },
            )
        }
    }

    /** Returns what this VM alone knows of the streams [ids]. */
    suspend fun answer(ids: List<String>): Map<String, StreamOrigin> {
        stored.awaitLoaded()
        return ids.mapNotNull { id -> origins.find(id)?.let { id to it } }.toMap()
    }

    private suspend fun tell(vm: VmRecord, begun: Map<String, StreamOrigin>) {
        try {
            peers.post(vm.control, TELL_PATH, StreamOriginCodec.encode(begun))
        } catch (e: IOException) {
            log.debug("telling VM {} where streams began failed: {}", vm.name, e.message)
        }
    }

    private suspend fun ask(vm: VmRecord, id: String): Finding =
        try {
            val reply = peers.post(vm.control, ASK_PATH, StreamOriginCodec.encodeIds(listOf(id)))
            Finding(StreamOriginCodec.decode(reply)[id], complete = true, heard = 1)
        } catch (e: ConnectFailedException) {
            if (e.refused) Finding(origin = null, complete = false, heard = 1) else notHeard(vm, e)
        } catch (e: IOException) {
            notHeard(vm, e)
        }

    private fun notHeard(vm: VmRecord, cause: IOException): Finding {
        log.debug("asking VM {} where a stream began failed: {}", vm.name, cause.message)
        return Finding(origin = null, complete = false)
    }

    companion object {
        /** Paths of the control interface. */
        const val TELL_PATH = "/peer/v1/stream-origins"
        const val ASK_PATH = "/peer/v1/stream-origins/find"

        /** Streams that begin within this time are told together; callers need longer to come back. */
        private const val BATCH_MILLIS = 100L

        /** Streams that begin within this time before a VM is lost may be lost with it. */
        private const val COPY_MILLIS = 500L

        /** Time after which the first stream for a while is noticed. */
        private const val IDLE_MILLIS = 300L

        /** Survives the loss of two of them together with the VM that began the stream. */
        private const val HOLDERS = 3

        /** VMs may differ in which others they count, so more are asked than were told. */
        private const val MAX_ASKED = 6
    }
}
