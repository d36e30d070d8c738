package fireflyhinge.daemon.golden

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.engine.EngineClient
import fireflyhinge.quota.QuotaClient
import fireflyhinge.schedule.PlacementClient
import fireflyhinge.store.Store
import java.lang.reflect.InvocationTargetException
import java.lang.reflect.Proxy
import java.util.concurrent.CopyOnWriteArrayList

/** Notes the calls that leave a daemon, with their results, and what it logs. */
class SessionRecorder : AppenderBase<ILoggingEvent>() {
    private class Entry(val text: String, val background: Boolean)

    private val entries = CopyOnWriteArrayList<Entry>()

    /** [ports] with their calls noted. */
    fun ports(ports: CallerPorts): CallerPorts =
        ports.copy(
            quota = wrap(QuotaClient::class.java, ports.quota),
            placement = wrap(PlacementClient::class.java, ports.placement),
            engines = wrap(EngineClient::class.java, ports.engines),
        )

    /** [store] with its calls noted. */
    fun store(store: Store): Store = wrap(Store::class.java, store)

    /** Notes [text] in the order of the calling thread. */
    fun note(text: String) {
        // The pools of the fixture run cancels, releases and repairs beside the session.
        entries.add(Entry(text, Thread.currentThread().name.startsWith("pool-")))
    }

    /** Number of calls of [method] that have been noted. */
    fun count(method: String): Int = entries.count { it.text.startsWith("$method(") }

    /** Number of requests whose end was logged. */
    val ends: Int get() = entries.count { it.text.startsWith("log ") && "request ended with" in it.text }

    override fun append(event: ILoggingEvent) {
        if (!event.loggerName.startsWith("fireflyhinge") || !event.level.isGreaterOrEqual(Level.INFO)) return
        note("log ${event.level} ${event.loggerName.substringAfterLast('.')}: ${event.formattedMessage}")
    }

    /** All entries: those of the session in order, then those of other threads, sorted. */
    fun text(): String {
        val (background, session) = entries.partition { it.background }
        return section("calls", session.map { it.text }.withoutRepeats()) +
            section("on other threads, sorted", background.map { it.text }.sorted())
    }

    private fun section(title: String, lines: List<String>) = "=== $title\n" + lines.joinToString("") { "$it\n" }

    // The number of equal store calls in a wait depends on the time that each of them takes.
    private fun List<String>.withoutRepeats() = filterIndexed { i, text -> i == 0 || text != this[i - 1] }

    private fun <T : Any> wrap(type: Class<T>, target: T): T =
        type.cast(
            Proxy.newProxyInstance(type.classLoader, arrayOf(type)) { _, method, arguments ->
                val given = arguments.orEmpty()
                val result =
                    try {
                        method.invoke(target, *given)
                    } catch (e: InvocationTargetException) {
                        throw e.targetException
                    }
                if (method.name !in unrecorded) note(line(method.name, given.toList(), result))
                result
            },
        )

    private fun line(name: String, arguments: List<Any?>, result: Any?): String {
        val given = arguments.filterNot { it is Function<*> }.joinToString(", ")
        return if (result == null || result == Unit) "$name($given)" else "$name($given)\n    = $result"
    }

    private companion object {
        // Reads without an effect: a ticket's validity is read before each token, and loads are cached for a second.
        val unrecorded = setOf(PlacementClient::isValid.name, EngineClient::readLoad.name)
    }
}
