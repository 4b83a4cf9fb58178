package boragelever.core.control

import boragelever.core.InstanceId
import boragelever.core.NetworkAddress
import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.config.EntryKey
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig

/** A document with one service, several routes, and one entry that differs in each version. */
internal fun sampleDocument(version: Long): ConfigDocument =
    ConfigDocument(
        mapOf(
            EntryKey("services/s") to "$version",
            EntryKey("routes/all") to "s",
            EntryKey("routes/other") to "s,missing",
        ) + (1..20).associate { EntryKey("routes/r$it") to "s" },
    )

internal fun sampleConfiguration(document: ConfigDocument): Configuration {
    val (services, routes) = document.entries.entries.partition { it.key.value.startsWith("services/") }
    return Configuration(
        services = services.associate { ServiceName(it.key.value.substringAfter('/')) to ServiceConfig() },
        routes = routes.associate { (key, text) ->
            val name = key.value.substringAfter('/')
            RouteName(name) to RouteConfig(
                pathPrefix = "/$name",
                destinations = text.split(',').associate { ServiceName(it) to 1 },
            )
        },
    )
}

internal fun sampleUpstream(name: String, state: UpstreamState): UpstreamRecord =
    UpstreamRecord(ServiceName("s"), InstanceId("$name-s"), NetworkAddress("$name:80"), 9, 130, state)
