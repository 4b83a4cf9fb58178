package boragelever.core.control

import boragelever.core.RouteName
import boragelever.core.ServiceName
import boragelever.core.config.ConfigDocument
import boragelever.core.config.Configuration
import boragelever.core.config.EntryKey
import boragelever.core.config.RouteConfig
import boragelever.core.config.ServiceConfig
import boragelever.core.store.ObjectKey
import boragelever.core.store.Revision
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowKey
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.WriteId

/** Rows and documents as far as the reducers under test use them. */
internal class FakeStore {
    val rows = sortedMapOf<String, Row>()
    val documents = mutableMapOf<ObjectKey, ConfigDocument>()
    var reads = 0

    fun put(key: String, value: RowValue) {
        rows[key] = Row(RowKey(key), value, Revision((rows[key]?.revision?.value ?: 0) + 1), WriteId("w"))
    }

    fun answer(command: StoreCommand, isUp: Boolean): StoreAnswer {
        if (!isUp) return StoreAnswer.StoreFailed(StoreFailure.Unavailable("the store is down"))
        reads++
        return when (command) {
            is StoreCommand.ScanRows -> StoreAnswer.RowsRead(scan(command))
            is StoreCommand.ReadRows -> StoreAnswer.RowsRead(command.keys.mapNotNull { rows[it.value] })
            is StoreCommand.GetDocument ->
                documents[command.key]?.let { StoreAnswer.DocumentRead(it) } ?: StoreAnswer.ObjectMissing
            is StoreCommand.Transact -> transact(command)
            else -> error("not used: $command")
        }
    }

    private fun scan(command: StoreCommand.ScanRows): List<Row> =
        rows.values
            .filter { it.key.value.startsWith(command.prefix) && it.key.value > command.after?.value.orEmpty() }
            .take(command.limit)

    private fun transact(command: StoreCommand.Transact): StoreAnswer {
        val holds = command.conditions.all { condition ->
            when (condition) {
                is RowCondition.Absent -> condition.key.value !in rows
                is RowCondition.RevisionIs -> rows[condition.key.value]?.revision == condition.revision
            }
        }
        if (!holds) return StoreAnswer.Conflicted(command.conditions.mapNotNull { rows[it.key.value] })
        command.writes.forEach { write ->
            when (write) {
                is RowWrite.Put -> put(write.key.value, write.value)
                is RowWrite.Delete -> rows.remove(write.key.value)
            }
        }
        return StoreAnswer.Committed(command.writes.mapNotNull { rows[it.key.value] })
    }
}

/** A document with one service and one route, and an entry that differs in each version. */
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
