package fireflyhinge.daemon.store

import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.standin.StoreServer
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.VmEntry
import fireflyhinge.store.WriteCondition
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HttpStoreTest {
    private val server = StoreServer()
    private val http = OutboundHttp()
    private val store: Store = HttpStore(address = server.address, http = http, timeoutMillis = 400)

    @AfterEach
    fun close() {
        http.close()
        server.close()
    }

    /** Guards against lost, renamed or re-encoded objects, for names with slashes and text outside ASCII as well. */
    @Test
    fun writtenObjectsAreReadBack() {
        listOf(
            ObjectName("workspaces", "alpha") to "{}",
            ObjectName("claims", "alpha/0f3c") to """{"state":"claimed"}""",
            ObjectName("workspaces", "Kaltēšanas a%b") to """{"text":"ē\n"}""",
        ).forEach { (name, value) ->
            val written = store.put(name, value, WriteCondition.Absent) as StoreResult.Ok<StoredObject>
            assertEquals(StoreResult.Ok(StoredObject(name, written.value.version, value)), store.get(name))
        }
        assertEquals(2, (store.list("workspaces") as StoreResult.Ok).value.size)
    }

    /** Guards against a VM list that loses fields. */
    @Test
    fun vmListIsRead() {
        val vm = VmEntry("vm1", "perth", "perth-north", "127.0.0.1:1", "127.0.0.1:2", leaving = true)
        server.setVms(listOf(vm))
        assertEquals(StoreResult.Ok(listOf(vm)), store.vms())
    }
}
