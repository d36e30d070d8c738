package fireflyhinge.daemon.admin

import fireflyhinge.Json
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.Workspace
import fireflyhinge.daemon.MemoryStore
import fireflyhinge.daemon.WriteFault
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoreResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

class AdminTest {
    private val store = MemoryStore()
    private val copy = AtomicReference(ConfigCopy.EMPTY)
    private val writer = ObjectWriter(
        store,
        WriterSettings(attempts = 20, backoffMillis = 1, resolveMillis = 500)
    ) { w ->
        copy.updateAndGet { it.merge(listOf(w)).copy }
    }
    private val templates = ObjectAdmin("templates", writer, copy::get)
    private val workspaces = WorkspaceAdmin(writer, copy::get)
    private val keys = KeyAdmin(writer, copy::get)
    private var changes = 0

    /** Guards against a change that is lost or half applied when operators race on one workspace. */
    @Test
    fun racingOperatorsAllTakeEffect() {
        createWorkspace()
        val hashes = (1..24).map { ApiKey.hash("key $it") }
        val pool = Executors.newFixedThreadPool(4)
        val results = pool.invokeAll(hashes.map { Callable { keys.grant("w", it, ChangeOptions("grant $it")) } })
        pool.shutdown()
        results.forEach { assertTrue(it.get() is Outcome.Success, "${it.get()}") }
        assertEquals(hashes.toSet(), stored().keyHashes)
    }

    /** Guards against an update that overwrites a version its operator has not seen. */
    @Test
    fun expectedVersionThatIsNotThereIsAConflict() {
        createWorkspace()
        val first = success(workspaces.change("w", RATE_5, next()))
        success(workspaces.change("w", """{"parameters":{"rate":6}}""", next().copy(expectedVersion = first.version)))
        val late = workspaces.change("w", RATE_5, next().copy(expectedVersion = first.version))
        assertEquals(ResultCode.VERSION_CONFLICT, code(late))
        assertEquals(ResultCode.VERSION_CONFLICT, code(workspaces.create("w", """{"template":"t"}""", next())))
        assertEquals(6.0, stored().parameters.rate)
    }

    /** Guards against a change that is reported as failed although it took effect, or applied twice. */
    @Test
    fun lostRepliesAreResolved() {
        createWorkspace()
        repeat(200) { seed ->
            val random = Random(seed)
            store.fault = { WriteFault.entries.random(random) }
            val change = success(workspaces.change("w", """{"parameters":{"rate":$seed}}""", next()))
            assertEquals(change.changeId, stored().changeId, "seed $seed")
            assertEquals(seed.toDouble(), stored().parameters.rate)
        }
    }

    /** Guards against "accepted" or "refused" where the outcome is not known. */
    @Test
    fun unresolvedChangeIsReportedAsUnknown() {
        createWorkspace()
        store.fault = {
            store.down = true
            WriteFault.REPLY_LOST
        }
        assertEquals(ResultCode.CHANGE_UNCONFIRMED, code(workspaces.change("w", RATE_5, next())))
        assertEquals(ResultCode.STORE_UNAVAILABLE, code(workspaces.change("w", RATE_5, next())))
        store.down = false
        store.fault = {
            store.force(WORKSPACE, Json.encode(stored().copy(changeId = "other")))
            WriteFault.REPLY_LOST
        }
        assertEquals(ResultCode.CHANGE_UNCONFIRMED, code(workspaces.change("w", RATE_5, next())))
    }

    /** Guards against a change that an operator's client sends again, after a lost answer, and that is made twice. */
    @Test
    fun repeatedChangeIdIsAppliedOnce() {
        createWorkspace()
        val options = next()
        val first = success(workspaces.change("w", RATE_5, options))
        assertEquals(first.version, success(workspaces.change("w", RATE_5, options)).version)
    }

    /** Guards against input that is accepted with faults or whose refusal hides some of them. */
    @Test
    fun inputIsRefusedWithEveryFault() {
        createWorkspace()
        data class Case(val outcome: Outcome<Any>, val code: ResultCode, val mentions: List<String>)
        val bad = """{"template":"t","parameters":{"rate":-1,"tint":1},"keyHashes":[]}"""
        val cases =
            listOf(
                Case(
                    workspaces.create("x", bad, next()),
                    ResultCode.OBJECT_INVALID,
                    listOf("rate", "tint", "keyHashes")
                ),
                Case(
                    workspaces.change("w", """{"parameters":{"tint":1}}""", next()),
                    ResultCode.UNKNOWN_TEMPLATE_PARAMETER,
                    listOf("tint"),
                ),
                Case(
                    workspaces.change("w", """{"parameters":{"rate":1000000}}""", next()),
                    ResultCode.OBJECT_INVALID,
                    listOf("burst"),
                ),
                Case(
                    workspaces.create("x", """{"template":"none"}""", next()),
                    ResultCode.OBJECT_UNKNOWN,
                    listOf("none")
                ),
                Case(workspaces.change("none", RATE_5, next()), ResultCode.OBJECT_UNKNOWN, listOf("none")),
                Case(templates.apply("t", "{", next()), ResultCode.MALFORMED_JSON, emptyList()),
                Case(keys.revoke("w", ApiKey.hash("none"), next()), ResultCode.OBJECT_UNKNOWN, listOf("key")),
            )
        cases.forEach { case ->
            assertEquals(case.code, code(case.outcome), "${case.outcome}")
            val detail = (case.outcome as Outcome.Failure).detail
            case.mentions.forEach { assertTrue(it in detail, "$it in $detail") }
        }
    }

    /** Guards against a key that is kept in the store, stays after revocation, or works for two workspaces. */
    @Test
    fun keysAreStoredAsHashesOnly() {
        createWorkspace()
        success(workspaces.create("v", """{"template":"t"}""", next()))
        val granted = success(keys.grant("w", hash = null, options = next()))
        val key = checkNotNull(granted.key)
        assertFalse(key in raw(), "the key itself is stored")
        assertEquals("w", copy.get().snapshot.workspaceOfKeyHash(ApiKey.hash(key))?.name)
        assertEquals(ResultCode.OBJECT_INVALID, code(keys.grant("v", granted.hash, next())))
        success(workspaces.change("w", RATE_5, next()))
        assertEquals(setOf(granted.hash), stored().keyHashes, "a change of parameters keeps the keys")
        success(keys.revoke("w", granted.hash, next()))
        assertEquals(null, copy.get().snapshot.workspaceOfKeyHash(ApiKey.hash(key)))
    }

    /** Guards against an admin API that is open without a token or accepts a part of it. */
    @Test
    fun onlyTheWholeTokenIsAccepted() {
        val auth = OperatorAuth(listOf("secret", ""))
        val headers = listOf(null, "", "Bearer ", "Bearer secre", "Bearer secret2", "Basic secret", "secret")
        headers.forEach { assertFalse(auth.accepts(it), "$it") }
        assertTrue(auth.accepts("Bearer secret"))
        assertFalse(OperatorAuth(emptyList()).accepts("Bearer "))
    }

    private fun createWorkspace() {
        success(templates.apply("t", "{}", next()))
        success(workspaces.create("w", """{"template":"t"}""", next()))
    }

    private fun next() = ChangeOptions("change ${++changes}")

    private fun stored(): Workspace = Json.decode(raw())

    private fun raw(): String = (store.get(WORKSPACE) as StoreResult.Ok).value.value

    private fun <T> success(outcome: Outcome<T>): T =
        when (outcome) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> throw AssertionError("$outcome")
        }

    private fun code(outcome: Outcome<Any>): ResultCode? = (outcome as? Outcome.Failure)?.code

    private companion object {
        val WORKSPACE = ObjectName("workspaces", "w")
        const val RATE_5 = """{"parameters":{"rate":5}}"""
    }
}
