package boragelever.standin

import boragelever.core.NetworkAddress
import boragelever.core.control.UpstreamRecord
import boragelever.platform.StoreProtocol
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.delete
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.appendPathSegments
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay

/** Announces an upstream to the admin port of its co-located node and renews the announcement. */
internal class UpstreamRegistrar(private val admin: NetworkAddress, private val record: () -> UpstreamRecord) {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS }
        }

    /** Announces until cancelled. */
    suspend fun run() {
        while (true) {
            delay(if (register()) RENEW_MILLIS else RETRY_MILLIS)
        }
    }

    /** Announces once; returns false if the node could not be told. */
    suspend fun register(): Boolean =
        attempt {
            client.post("http://$admin$UPSTREAMS_PATH") {
                contentType(ContentType.Application.Json)
                setBody(StoreProtocol.valueJson.encodeToString(UpstreamRecord.serializer(), record()))
            }
        }

    /** Takes the announcement back, if the node can be told, and ends the client. */
    suspend fun deregister() {
        attempt {
            client.delete("http://$admin$UPSTREAMS_PATH") {
                url.appendPathSegments(record().instance.value)
            }
        }
        client.close()
    }

    private suspend fun attempt(request: suspend () -> Unit): Boolean =
        try {
            request()
            true
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            LOG.debug { "[standin] node at $admin was not told about the upstream: ${e.message}" }
            false
        }

    private companion object {
        val LOG = KotlinLogging.logger {}
        const val UPSTREAMS_PATH = "/v1/upstreams"

        /** An announcement ends after 5 s; two renewals may be lost. */
        const val RENEW_MILLIS = 1_500L
        const val RETRY_MILLIS = 300L
        const val REQUEST_TIMEOUT_MILLIS = 1_000L
    }
}
