package fireflyhinge.standin

import fireflyhinge.Json
import fireflyhinge.config.UpstreamRole
import fireflyhinge.standin.engine.EngineSettings
import fireflyhinge.standin.store.StoreSettings
import kotlin.system.exitProcess

private const val USAGE_STATUS = 2

/** Runs a stand-in: `store`, `engine` or `service`, then arguments of the form `--name value`. */
fun main(args: Array<String>) {
    if (System.getProperty("logback.configurationFile") == null) {
        System.setProperty("logback.configurationFile", "logback-standin.xml")
    }
    try {
        println(Json.encode(mapOf("listening" to start(args.toList()))))
    } catch (e: IllegalArgumentException) {
        System.err.println(e.message)
        exitProcess(USAGE_STATUS)
    }
}

/** Starts the stand-in that [args] name and returns its address. Its threads keep the process alive. */
private fun start(args: List<String>): String {
    val arguments = Arguments(args.drop(1))
    return when (val kind = args.firstOrNull()) {
        "store" -> startStore(arguments)
        "engine" -> startEngine(arguments)
        "service" -> startService(arguments)
        else -> throw IllegalArgumentException("expected store, engine or service, got $kind")
    }
}

private fun startStore(arguments: Arguments): String {
    arguments.allow(setOf("listen", "max-value-bytes", "calls-per-second", "vm-lag-ms"))
    val d = StoreSettings()
    val settings =
        StoreSettings(
            maxValueBytes = arguments.int("max-value-bytes", d.maxValueBytes),
            callsPerSecond = arguments.int("calls-per-second", d.callsPerSecond),
            vmLagMillis = arguments.long("vm-lag-ms", d.vmLagMillis),
        )
    return StoreServer(listen = arguments.text("listen", "127.0.0.1:0"), settings = settings).address
}

private fun startService(arguments: Arguments): String {
    arguments.allow(setOf("listen", "name", "run-ms"))
    return PlainServer(
        listen = arguments.text("listen", "127.0.0.1:0"),
        name = arguments.text("name", "service"),
        runMillis = arguments.long("run-ms", 0),
    ).address
}

private fun startEngine(arguments: Arguments): String {
    arguments.allow(ENGINE_ARGUMENTS.split(' ').toSet())
    val settings = engineSettings(arguments)
    val server = EngineServer(settings = settings, listen = arguments.text("listen", "127.0.0.1:0"))
    server.faults.poison = words(arguments.text("poison", ""))
    return server.address
}

private fun words(text: String): Set<String> = text.split(',').filter { it.isNotEmpty() }.toSet()

private const val ENGINE_ARGUMENTS =
    "listen role models slots prefill-us-per-token decode-step-us decode-step-growth-us block-tokens " +
        "cache-blocks kv-expiry-ms kv-bytes-per-token link-mb-per-s load-lag-ms event-lag-ms event-loss-percent " +
        "checks-fence cancel-on-disconnect-prefill cancel-on-disconnect-decode exit-on-crash poison " +
        "version order-load-ms"

private fun engineSettings(arguments: Arguments): EngineSettings {
    val d = EngineSettings(role = UpstreamRole.valueOf(arguments.text("role", "prefill").uppercase()))
    return d.copy(
        models = words(arguments.text("models", "")),
        slots = arguments.int("slots", d.slots),
        prefillMicrosPerToken = arguments.long("prefill-us-per-token", d.prefillMicrosPerToken),
        decodeStepMicros = arguments.long("decode-step-us", d.decodeStepMicros),
        decodeStepGrowthMicros = arguments.long("decode-step-growth-us", d.decodeStepGrowthMicros),
        blockTokens = arguments.int("block-tokens", d.blockTokens),
        cacheBlocks = arguments.int("cache-blocks", d.cacheBlocks),
        kvExpiryMillis = arguments.long("kv-expiry-ms", d.kvExpiryMillis),
        kvBytesPerToken = arguments.long("kv-bytes-per-token", d.kvBytesPerToken),
        linkMegabytesPerSecond = arguments.long("link-mb-per-s", d.linkMegabytesPerSecond),
        loadLagMillis = arguments.long("load-lag-ms", d.loadLagMillis),
        eventLagMillis = arguments.long("event-lag-ms", d.eventLagMillis),
        eventLossPercent = arguments.int("event-loss-percent", d.eventLossPercent),
        version = arguments.text("version", "").ifEmpty { null },
        orderLoadMillis = arguments.long("order-load-ms", d.orderLoadMillis),
        checksFence = arguments.flag("checks-fence", d.checksFence),
        cancelOnDisconnectPrefill = arguments.flag("cancel-on-disconnect-prefill", d.cancelOnDisconnectPrefill),
        cancelOnDisconnectDecode = arguments.flag("cancel-on-disconnect-decode", d.cancelOnDisconnectDecode),
        exitOnCrash = arguments.flag("exit-on-crash", true),
    )
}
