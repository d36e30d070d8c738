package fireflyhinge.daemon.fake

import fireflyhinge.daemon.caller.CallerApi
import fireflyhinge.daemon.caller.CallerMetrics
import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.daemon.caller.DepartureWatch
import fireflyhinge.daemon.caller.ModelPipeline
import fireflyhinge.daemon.golden.SessionRecorder
import fireflyhinge.daemon.http.HttpHost
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.service.ClaimRepair
import fireflyhinge.daemon.service.OkHttpServiceClient
import fireflyhinge.daemon.service.ServiceLimits
import fireflyhinge.daemon.service.ServicePipeline
import fireflyhinge.daemon.service.ServicePorts
import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Executors

/** A caller API on a free port of the loopback interface over fakes, whose calls [recorder] notes. */
class Fixture(
    limits: HttpLimits = HttpLimits(maxThreads = 50),
    val store: FakeStore = FakeStore(),
    vm: String = "vm-1",
    recorder: SessionRecorder? = null,
) : AutoCloseable {
    val engines = FakeEngines()
    val quota = FakeQuota()
    val placement = FakePlacement()
    val config = FakeConfig()
    val membership = FakeMembership(vm)
    private val executor = Executors.newCachedThreadPool()
    private val departures = DepartureWatch()
    private val client = HttpClient.newHttpClient()
    val ports =
        CallerPorts(config, quota, placement, engines, membership).let { recorder?.ports(it) ?: it }
    private val claims = recorder?.store(store) ?: store
    private val timer = Executors.newSingleThreadScheduledExecutor()
    private val models = ModelPipeline(ports, executor = executor)
    private val services =
        ServicePipeline(
            ServicePorts(
                caller = ports,
                store = claims,
                client = OkHttpServiceClient(quick),
                repair = ClaimRepair(claims, timer, firstDelayMillis = 50),
                limits = quick,
            ),
        )
    val host =
        HttpHost(
            Javalin.create { app ->
                CallerApi(ports, models, services, departures, CallerMetrics(PrometheusRegistry()), limits).install(app)
            },
            InetSocketAddress("127.0.0.1", 0),
            limits,
        ).start()

    fun post(path: String, body: String, vararg headers: String): HttpResponse<String> =
        send(path, "POST", body, listOf("Authorization", "Bearer ${FakeConfig.KEY}") + headers)

    fun send(path: String, method: String, body: String, headers: List<String>): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${host.port}$path"))
        if (headers.isNotEmpty()) request.headers(*headers.toTypedArray())
        request.method(method, HttpRequest.BodyPublishers.ofString(body))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Opens a raw connection. */
    fun socket() = Socket("127.0.0.1", host.port)

    override fun close() {
        host.close()
        departures.close()
        executor.shutdownNow()
        timer.shutdownNow()
    }

    companion object {
        /** Limits short enough for tests that wait for them. */
        private val quick =
            ServiceLimits(silenceMillis = 1000, claimWaitMillis = 600, claimPollMillis = 50, claimWriteMillis = 300)

        fun chat(stream: Boolean = true, maxTokens: Int = 8) =
            """{"model":"curator-model","stream":$stream,"max_tokens":$maxTokens,
               "messages":[{"role":"user","content":"one two three"}]}"""
    }
}
