package fireflyhinge.store

/**
 * Client of the platform's object store. Every call, including a blocking watch, counts against the platform's rate
 * limit.
 */
interface Store {
    /** Reads one object. */
    fun get(name: ObjectName): StoreResult<StoredObject>

    /** Lists all objects of [kind]. */
    fun list(kind: String): StoreResult<List<StoredObject>>

    /** Writes [value] if [condition] holds and returns the object with its new version. */
    fun put(name: ObjectName, value: String, condition: WriteCondition): StoreResult<StoredObject>

    /** Waits up to [waitMillis] for changes after [position]; an empty batch means that there were none. */
    fun watch(position: Long, waitMillis: Long): StoreResult<WatchBatch>

    /** Reads the VM list. */
    fun vms(): StoreResult<VmList>
}
