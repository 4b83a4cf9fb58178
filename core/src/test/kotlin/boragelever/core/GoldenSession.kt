package boragelever.core

import boragelever.core.control.ControlState
import boragelever.core.control.Effect
import boragelever.core.control.Event
import boragelever.core.control.RequestOwner
import boragelever.core.control.Transition
import boragelever.core.store.Row
import boragelever.core.store.RowCondition
import boragelever.core.store.RowValue
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreResult
import org.junit.jupiter.api.Assertions.assertEquals
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Observes the events and transitions of a [Session]. */
interface SessionObserver {
    fun reduced(nowMillis: Long, node: NodeId, event: Event, before: ControlState, transition: Transition)

    fun note(nowMillis: Long, text: String)

    object None : SessionObserver {
        override fun reduced(
            nowMillis: Long,
            node: NodeId,
            event: Event,
            before: ControlState,
            transition: Transition,
        ): Unit = Unit

        override fun note(nowMillis: Long, text: String): Unit = Unit
    }
}

/** Part of the control state that a golden file covers, so that changes to other parts do not change the file. */
class GoldenScope(
    /** Owners whose requests are shown. */
    val owners: Set<RequestOwner>,
    /** Returns a readable summary of the state. */
    val summary: (ControlState) -> String,
    /** Returns the values whose text is digested to detect changes of the state. */
    val concerns: (ControlState) -> List<Any?>,
    /** True for effects that are shown in addition to the requests of [owners]. */
    val shows: (Effect) -> Boolean = { false },
)

/**
 * Records a session as text: events with `<`, effects with `>`, and the summary and digest of the state with `=`.
 *
 * Consecutive ticks that change nothing in the scope are counted on one line. Request ids and write ids are numbered in
 * order of appearance, so that requests outside the scope do not renumber them.
 */
class GoldenSession(private val scope: GoldenScope) : SessionObserver {
    private val lines = mutableListOf<String>()
    private val stableIds = mutableMapOf<String, String>()
    private var idleTickCount = 0

    val text: String get() = lines.joinToString("\n", postfix = "\n")

    override fun note(nowMillis: Long, text: String) {
        flushIdleTicks()
        lines += "${formatTime(nowMillis)} -- $text"
    }

    override fun reduced(
        nowMillis: Long,
        node: NodeId,
        event: Event,
        before: ControlState,
        transition: Transition,
    ) {
        val effects = transition.effects.filter(::isShown)
        val unchanged = digest(before) == digest(transition.state)
        if (effects.isEmpty() && unchanged && isBackground(event)) {
            if (event is Event.Ticked) idleTickCount++
            return
        }
        flushIdleTicks()
        lines += "${formatTime(nowMillis)} $node < ${withStableIds(render(event))}"
        effects.forEach { lines += "$INDENT$node > ${withStableIds(render(it))}" }
        if (!unchanged) lines += "$INDENT$node = ${scope.summary(transition.state)} #${digest(transition.state)}"
    }

    /** Compares the text with `golden/<name>.txt`; writes that file first if `golden.update` is set. */
    fun verify(name: String) {
        flushIdleTicks()
        val path = Path.of("src/test/resources/golden/$name.txt")
        if (System.getProperty("golden.update") == "true") {
            path.parent.createDirectories()
            path.writeText(text)
        }
        check(path.exists()) { "Golden file $path is missing; create it with -Dgolden.update=true and review it" }
        assertEquals(path.readText(), text, "session $name differs; regenerate it with -Dgolden.update=true and review")
    }

    private fun flushIdleTicks() {
        if (idleTickCount > 0) lines += "$INDENT.. $idleTickCount quiet ticks"
        idleTickCount = 0
    }

    private fun isBackground(event: Event): Boolean =
        when (event) {
            is Event.Ticked -> true
            is Event.StoreCommandCompleted -> event.request.owner !in scope.owners
            is Event.PeerMessageReceived -> true
            else -> false
        }

    private fun isShown(effect: Effect): Boolean =
        when (effect) {
            is Effect.CallStore -> effect.request.owner in scope.owners
            else -> scope.shows(effect)
        }

    private fun digest(state: ControlState): String =
        sha256(listOf(withStableIds(scope.concerns(state).toString()))).value.take(DIGEST_CHARS)

    private fun withStableIds(text: String): String =
        VOLATILE.replace(text) { match ->
            stableIds.getOrPut(match.value) {
                val kind = match.value.substringBefore('#').takeIf { '#' in match.value } ?: "write"
                "$kind#${stableIds.values.count { it.startsWith("$kind#") } + 1}"
            }
        }

    private companion object {
        const val INDENT = "         "
        const val DIGEST_CHARS = 8

        /** Matches request ids such as `lease#12`, and write ids such as `n1/i1/12/1f`. */
        val VOLATILE = Regex("""\b(lease|publisher|config|dissemination|membership)#\d+\b|\b\w+/i\d+/\d+/[0-9a-z]+\b""")

        fun formatTime(nowMillis: Long): String = nowMillis.toString().padStart(INDENT.length - 1)

        fun render(event: Event): String =
            when (event) {
                is Event.Started -> "started"
                is Event.Ticked -> "tick"
                is Event.StoreCommandCompleted -> "${event.request} ${render(event.result)}"
                is Event.FolderRequestCompleted -> "${event.request} ${event.result}"
                is Event.FolderMerged -> "${event.request} ${event.outcome}"
                is Event.PeerMessageReceived -> "from ${event.from} ${render(event.message)}"
                is Event.PeerConnected -> "connected ${event.record.node} ${event.record.incarnation}"
                is Event.PeerUnreachable -> "unreachable ${event.peer}"
                is Event.UpstreamRegistered -> "announced ${event.upstream.instance} ${event.upstream.state}"
                is Event.DocumentCompiled -> "compiled ${event.version}: ${event.outcome::class.simpleName}"
                else -> event.toString()
            }

        fun render(effect: Effect): String =
            when (effect) {
                is Effect.CallStore -> "${effect.request} ${render(effect.command)}"
                is Effect.Report -> "report ${effect.notice}"
                is Effect.SendToPeer -> "to ${effect.peer} ${render(effect.message)}"
                is Effect.InstallSnapshot -> "install ${render(effect.snapshot)}"
                else -> effect.toString()
            }

        fun render(result: StoreResult): String =
            when (result) {
                is StoreResult.RowsRead -> "read ${rows(result.rows)}"
                is StoreResult.Committed -> "committed ${rows(result.rows)}"
                is StoreResult.Conflict -> "conflict ${rows(result.rows)}"
                is StoreResult.StoreFailed -> "failed ${result.failure}"
                else -> result.toString()
            }

        fun render(command: StoreCommand): String =
            when (command) {
                is StoreCommand.ReadRows -> "read ${command.keys.joinToString()}"
                is StoreCommand.Transact ->
                    "transact ${command.writeId} if ${command.conditions.joinToString(" and ") { render(it) }}: " +
                        command.writes.joinToString { render(it) }
                else -> command.toString()
            }

        fun rows(rows: List<Row>): String =
            rows.joinToString(prefix = "[", postfix = "]") { "${render(it.value)} at ${it.revision} by ${it.writeId}" }

        fun render(condition: RowCondition): String =
            when (condition) {
                is RowCondition.Absent -> "${condition.key} absent"
                is RowCondition.RevisionIs -> "${condition.key} at ${condition.revision}"
            }

        fun render(write: RowWrite): String =
            when (write) {
                is RowWrite.Put -> "put ${render(write.value)}"
                is RowWrite.Delete -> "delete ${write.key}"
            }

        fun render(value: RowValue): String =
            when (value) {
                is RowValue.Head -> "head ${value.version} ${value.epoch} ${value.digest.value.take(DIGEST_CHARS)}"
                is RowValue.Lease -> "lease ${value.holder} ${value.epoch} ${value.durationMillis} ms"
                is RowValue.Status -> "status ${value.version} ${value.errors}"
                else -> value.toString()
            }
    }
}
