package fireflyhinge.standin.engine

import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.ImportRequest
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The slots of a decode replica, at most [limit]. */
internal class DecodeSlots(private val limit: Int) : AutoCloseable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val slots = LinkedHashMap<EngineRequestId, DecodeSlot>()
    private var closed = false

    /** Slots in use. */
    fun all(): List<DecodeSlot> = lock.withLock { slots.values.toList() }

    /** Slot of [id], or null. */
    fun of(id: EngineRequestId): DecodeSlot? = lock.withLock { slots[id] }

    /** Takes a slot; null if all are taken. */
    fun reserve(request: ImportRequest): DecodeSlot? =
        lock.withLock {
            if (slots.size >= limit) return null
            DecodeSlot(id = request.id, holder = request.holder, ticket = request.ticket)
                .also { slots[request.id] = it }
        }

    /** Frees the slots whose id [matches]. */
    fun cancel(matches: (EngineRequestId) -> Boolean) =
        lock.withLock {
            slots.values.filter { matches(it.id) }.forEach { it.cancelled = true }
            slots.keys.removeIf(matches)
            changed.signalAll()
        }

    /** Attaches a stream to [slot] and starts it at the first call; gives the reason of a refusal, or null. */
    fun attach(slot: DecodeSlot, request: DecodeRequest): String? =
        lock.withLock {
            val content = slot.content ?: return "the import is not complete"
            if (slot.attached) return "a stream reads this request already"
            if (slot.answer == null) {
                if (request.firstIndex != content.resumedTokens) {
                    return "firstIndex ${request.firstIndex} differs from the ${content.resumedTokens} resumed tokens"
                }
                slot.start(content = content, request = request)
                changed.signalAll()
            }
            slot.attached = true
            null
        }

    /** Detaches the stream of [slot], which goes on to hold its memory. */
    fun detach(slot: DecodeSlot) = lock.withLock { slot.attached = false }

    /** Waits until the token [index] is generated, and gives it; null at the end of the answer or after a cancel. */
    fun token(slot: DecodeSlot, index: Int): String? =
        lock.withLock {
            while (!closed && slot.willReach(index)) changed.await()
            if (closed || slot.cancelled || index >= slot.count) null else slot.answer?.token(index)
        }

    /** Waits for running requests and gives their number; 0 once closed. */
    fun awaitRunning(): Int =
        lock.withLock {
            while (!closed && slots.values.none { it.running }) changed.await()
            if (closed) 0 else slots.values.count { it.running }
        }

    /** Generates one token for each running request and gives their number. */
    fun step(): Int =
        lock.withLock {
            val batch = slots.values.filter { it.running }
            batch.forEach { it.next += 1 }
            changed.signalAll()
            batch.size
        }

    override fun close() =
        lock.withLock {
            closed = true
            slots.values.forEach { it.cancelled = true }
            changed.signalAll()
        }
}
