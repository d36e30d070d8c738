package fireflyhinge.daemon.admin

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WriteCondition
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import kotlin.random.Random

/**
 * Changes objects in the store by conditional update. A change counts as accepted only after the store has confirmed
 * it; a lost reply is resolved by reading the change id back.
 *
 * @param onWritten receives each confirmed object.
 */
class ObjectWriter(
    private val store: Store,
    private val settings: WriterSettings = WriterSettings(),
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val random: Random = Random.Default,
    private val onWritten: (StoredObject) -> Unit,
) {
    /**
     * Replaces [name] by what [edit] makes of its present state (null: absent). Racing changes are retried unless
     * [options] names the expected version.
     */
    fun write(
        name: ObjectName,
        options: ChangeOptions,
        edit: (StoredObject?) -> Outcome<String>,
    ): Outcome<Change> {
        repeat(settings.attempts) { attempt ->
            val current =
                when (val read = read(name)) {
                    is Outcome.Success -> read.value
                    is Outcome.Failure -> return read
                }
            val result = attempt(name, current, options, edit)
            if (result != null) return result
            pause(attempt)
        }
        return Outcome.Failure(ResultCode.VERSION_CONFLICT, "$name changed ${settings.attempts} times meanwhile")
    }

    /** Reads [name]; null if it is absent. */
    fun read(name: ObjectName): Outcome<StoredObject?> =
        when (val result = store.get(name)) {
            is StoreResult.Ok -> Outcome.Success(result.value)
            StoreResult.NotFound -> Outcome.Success(null)
            else -> Outcome.Failure(ResultCode.STORE_UNAVAILABLE, "reading $name: $result")
        }

    /** One read-modify-write; null if another change came first and this one may be tried again. */
    private fun attempt(
        name: ObjectName,
        current: StoredObject?,
        options: ChangeOptions,
        edit: (StoredObject?) -> Outcome<String>,
    ): Outcome<Change>? {
        if (StoredJson.changeId(current) == options.changeId) return accept(checkNotNull(current), options)
        val version = current?.version ?: 0
        if (options.expectedVersion != null && options.expectedVersion != version) return conflict(name, version)
        val value =
            when (val edited = edit(current)) {
                is Outcome.Success -> edited.value
                is Outcome.Failure -> return edited
            }
        return when (val result = store.put(name, value, condition(current))) {
            is StoreResult.Ok -> accept(result.value, options)
            is StoreResult.Conflict -> if (options.expectedVersion == null) null else lostRace(name, result, options)
            is StoreResult.Rejected -> Outcome.Failure(ResultCode.OBJECT_INVALID, "the store refused: ${result.reason}")
            is StoreResult.Unavailable -> Outcome.Failure(ResultCode.STORE_UNAVAILABLE, result.reason)
            is StoreResult.Unknown, StoreResult.NotFound -> resolve(name, current, value, options)
        }
    }

    /**
     * Finds out what became of a write without a reply. While the object has its old version the same conditional
     * write is sent again: only one of the copies can take effect, and both carry the same change id.
     */
    private fun resolve(
        name: ObjectName,
        base: StoredObject?,
        value: String,
        options: ChangeOptions,
    ): Outcome<Change> {
        val end = clock.millis() + settings.resolveMillis
        while (clock.millis() < end) {
            val read = read(name)
            val now = (read as? Outcome.Success)?.value
            when {
                read is Outcome.Failure -> Unit
                StoredJson.changeId(now) == options.changeId -> return accept(checkNotNull(now), options)
                now?.version != base?.version -> return unconfirmed(name, "another change is in place")
                else -> {
                    val again = store.put(name, value, condition(base))
                    if (again is StoreResult.Ok) return accept(again.value, options)
                }
            }
            pause(attempt = 1)
        }
        return unconfirmed(name, "the store did not answer for ${settings.resolveMillis} ms")
    }

    private fun lostRace(name: ObjectName, conflict: StoreResult.Conflict, options: ChangeOptions): Outcome<Change> {
        val current = conflict.current
        val own = current != null && StoredJson.changeId(current) == options.changeId
        return if (own) accept(checkNotNull(current), options) else conflict(name, current?.version ?: 0)
    }

    private fun accept(stored: StoredObject, options: ChangeOptions): Outcome<Change> {
        onWritten(stored)
        return Outcome.Success(Change(stored.name.toString(), stored.version, options.changeId))
    }

    private fun conflict(name: ObjectName, version: Long): Outcome.Failure =
        Outcome.Failure(ResultCode.VERSION_CONFLICT, "$name has version $version")

    private fun unconfirmed(name: ObjectName, reason: String): Outcome.Failure =
        Outcome.Failure(ResultCode.CHANGE_UNCONFIRMED, "$name: $reason")

    private fun condition(current: StoredObject?): WriteCondition =
        current?.let { WriteCondition.AtVersion(it.version) } ?: WriteCondition.Absent

    /** Random pauses keep racing operators from colliding again. */
    private fun pause(attempt: Int) = Thread.sleep(random.nextLong(1, settings.backoffMillis.shl(attempt) + 2))
}
