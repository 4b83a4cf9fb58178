package boragelever.app

import boragelever.core.NetworkAddress
import boragelever.core.RouteName
import boragelever.core.config.RouteConfig
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import java.io.IOException

/** A call of one route through the node whose proxy listens at [address]. */
internal class SampleCall(val route: RouteName, private val address: NetworkAddress, private val config: RouteConfig) {
    private val method: String get() = config.methods.firstOrNull() ?: "GET"
    private val url: String get() = "http://$address${config.pathPrefix}"

    /** Returns a `curl` command line for the call. */
    fun curlLine(): String {
        val methodFlag = method.takeIf { it != "GET" }?.let { " -X $it" }.orEmpty()
        val host = config.host?.let { " -H 'Host: $it'" }.orEmpty()
        val key = if (config.idempotency.requireKey) " -H 'Idempotency-Key: try-1'" else ""
        return "curl -i$methodFlag$host$key $url"
    }

    /** Sends the call and returns its HTTP status, or the class name of the I/O failure. */
    suspend fun execute(client: HttpClient, number: Int): String =
        try {
            val response = client.request(url) {
                method = HttpMethod.parse(this@SampleCall.method)
                config.host?.let { header(HttpHeaders.Host, it) }
                if (config.idempotency.requireKey) header("Idempotency-Key", "sample-$number")
            }
            response.bodyAsBytes()
            response.status.value.toString()
        } catch (failure: IOException) {
            failure::class.simpleName.orEmpty()
        }
}

/** Sends each of [calls] [times] times and returns one line per route with the number of calls by result. */
internal fun executeSampleCalls(calls: List<SampleCall>, times: Int): List<String> =
    HttpClient(CIO) { expectSuccess = false }.use { client ->
        runBlocking {
            calls.map { call ->
                val results = List(times) { call.execute(client, it) }.groupingBy { it }.eachCount()
                "  ${call.route}: " + results.entries.joinToString { (result, count) -> "$count ended with $result" }
            }
        }
    }
