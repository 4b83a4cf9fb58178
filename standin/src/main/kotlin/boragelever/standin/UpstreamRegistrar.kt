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

/** Registers an upstream at the admin port of its co-located node and renews the registration. */
internal class UpstreamRegistrar(private val admin: NetworkAddress, private val record: () -> UpstreamRecord) {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS }
        }

    /** Renews the registration until cancelled. */
    suspend fun run() {
        while (true) {
            delay(if (register()) RENEW_MILLIS else RETRY_MILLIS)
        }
    }

    /** Sends one registration request; returns false if it failed. */
    suspend fun register(): Boolean =
        attempt {
            client.post("http://$admin$UPSTREAMS_PATH") {
                contentType(ContentType.Application.Json)
                setBody(StoreProtocol.valueJson.encodeToString(UpstreamRecord.serializer(), record()))
            }
        }

    /** Deregisters the upstream if the node can be reached, and closes the client. */
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
            LOG.debug { "[standin] registration request to the node at $admin failed: ${e.message}" }
            false
        }

    private companion object {
        val LOG = KotlinLogging.logger {}
        const val UPSTREAMS_PATH = "/v1/upstreams"

        /** A registration expires after 5 s, so two consecutive renewals may be lost. */
        const val RENEW_MILLIS = 1_500L
        const val RETRY_MILLIS = 300L
        const val REQUEST_TIMEOUT_MILLIS = 1_000L
    }
}
