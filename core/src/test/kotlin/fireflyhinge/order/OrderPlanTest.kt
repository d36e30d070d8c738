package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

class OrderPlanTest {
    private data class Case(
        val name: String,
        val desired: Upstream,
        val load: EngineLoad,
        val step: String?,
        val serves: Boolean = true,
    )

    private val decode = UpstreamRole.DECODE
    private val prefill = UpstreamRole.PREFILL

    private val cases =
        listOf(
            Case("nothing desired", upstream(), reported(), null),
            Case("engine reports no state", upstream(models = listOf("a")), reported().copy(role = null), null),
            Case("other role", upstream(role = prefill), reported(), "role prefill", serves = false),
            Case(
                "role before everything else",
                upstream(role = prefill, models = listOf("a")),
                reported(models = setOf("b")),
                "role prefill",
                serves = false,
            ),
            Case("load a model", upstream(models = listOf("a")), reported(), "load_model a"),
            Case("models are loaded", upstream(models = listOf("b", "a")), reported(models = setOf("a", "b")), null),
            Case(
                "unload before load",
                upstream(models = listOf("a")),
                reported(models = setOf("b")),
                "unload_model b",
                serves = false,
            ),
            Case(
                "one of the desired models is there",
                upstream(models = listOf("a", "b")),
                reported(models = setOf("a")),
                "load_model b",
            ),
            Case("models not reported", upstream(models = listOf("a")), reported(models = null), null),
            Case("unload", upstream(adapters = emptyList()), reported(adapters = setOf("x")), "unload_adapter x"),
            Case("load an adapter", upstream(adapters = listOf("x")), reported(), "load_adapter x"),
            Case("no version yet", upstream(version = "2"), reported(), "version 2"),
            Case("other version", upstream(version = "2"), reported(version = "1"), "version 2"),
            Case("same version", upstream(version = "2"), reported(version = "2"), null),
            Case(
                "version before load",
                upstream(version = "2", adapters = listOf("x")),
                reported(version = "1"),
                "version 2",
            ),
        )

    /** Guards against an order that is missing, unnecessary, or too early in the sequence. */
    @TestFactory
    fun theNextStepLeadsToTheDesiredState(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val step = OrderPlan.next(case.desired, case.load)?.run { "${action.wireName} $argument" }
                assertEquals(case.step, step)
                assertEquals(case.serves, OrderPlan.serves(case.desired, case.load))
            }
        }

    private fun upstream(
        role: UpstreamRole = decode,
        models: List<String>? = null,
        adapters: List<String>? = null,
        version: String? = null,
    ) = testUpstream("u").copy(role = role, models = models, adapters = adapters, modelVersion = version)

    private fun reported(
        models: Set<String>? = emptySet(),
        adapters: Set<String>? = emptySet(),
        version: String? = null,
    ) = testLoad.copy(models = models, adapters = adapters, version = version)
}
