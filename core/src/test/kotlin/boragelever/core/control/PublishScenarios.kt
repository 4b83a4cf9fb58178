package boragelever.core.control

import boragelever.core.Epoch
import boragelever.core.FileName
import boragelever.core.Handling
import boragelever.core.NodeId
import boragelever.core.Session
import boragelever.core.store.RowKey
import boragelever.core.store.RowWrite
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreKeys

/** A session with the outcome that the store must show at its end. */
data class Scenario(
    val name: String,
    val guards: String,
    val version: Long,
    val published: Map<String, String>,
    val errors: List<String>? = null,
    val nodes: List<String> = listOf("n1"),
    val golden: Boolean = false,
    val script: Session.() -> Unit,
) {
    override fun toString(): String = "$name guards against $guards"
}

private val A = FileName("10-a.yaml")
private val B = FileName("20-b.yaml")

internal fun Session.publishFirst() {
    folder[A] = "a: 1"
    start()
    runUntil("first version") { head?.version?.value == 1L && state(nodes.first()).applied != null }
}

private fun isHeadMove(effect: Effect): Boolean = writesRow(effect, StoreKeys.HEAD)

private fun isRenewal(effect: Effect): Boolean =
    writesRow(effect, StoreKeys.LEASE) && !isHeadMove(effect) && !writesRow(effect, StoreKeys.STATUS)

private fun writesRow(effect: Effect, key: RowKey): Boolean {
    val command = (effect as? Effect.CallStore)?.command as? StoreCommand.Transact ?: return false
    return command.writes.any { it is RowWrite.Put && it.key == key }
}

/** Handles the first effect that [matches] as [how] and all others as usual. */
private fun Session.once(how: Handling, matches: (Effect) -> Boolean) {
    var done = false
    handling = { _, effect ->
        if (!done && matches(effect)) {
            done = true
            how
        } else {
            Handling.EXECUTE
        }
    }
}

private fun Session.onHeadMove(how: Handling) {
    publishFirst()
    note("the next head transaction: $how")
    once(how, ::isHeadMove)
    folder[A] = "a: 2"
    run(2_500)
}

private fun Session.onRenewal(how: Handling) {
    publishFirst()
    once(how, ::isRenewal)
    run(3_000)
    folder[A] = "a: 2"
    run(2_000)
}

/** Lets the holder's head transaction wait while another node takes the lease and [meanwhile] happens. */
private fun Session.pausedPublisher(
    beforeTakeover: Session.(NodeId) -> Unit = {},
    meanwhile: Session.(NodeId) -> Unit,
) {
    publishFirst()
    val holder = checkNotNull(lease).holder
    note("$holder is paused with its head transaction unsent")
    handling = { node, effect -> if (node == holder && isHeadMove(effect)) Handling.HOLD else Handling.EXECUTE }
    folder[A] = "a: 2"
    run(1_000)
    pause(holder)
    beforeTakeover(holder)
    folder[A] = "a: 3"
    val other = nodes.first { it != holder }
    runUntil("takeover") { lease?.holder == other }
    meanwhile(other)
    note("$holder resumes")
    handling = { _, _ -> Handling.EXECUTE }
    releaseHeld()
    resume(holder)
    run(1_000)
}

private fun Session.outage(millis: Long, how: Handling) {
    publishFirst()
    note("the store is out for $millis ms")
    handling = { _, _ -> how }
    folder[A] = "a: 2"
    run(millis)
    check(state(nodes.first()).applied?.id?.version?.value == 1L) { "the applied version did not stay" }
    check(state(nodes.first()).lease !is LeaseState.Held) { "the lease outlived its duration" }
    note("the store is back")
    handling = { _, _ -> Handling.EXECUTE }
    runUntil("publish after the outage", limitMillis = 12_000) { published == mapOf("a" to "2") }
}

/** Runs [edit] between the first list and the answer of the read. */
private fun Session.whileReading(edit: Session.() -> Unit) {
    publishFirst()
    var edited = false
    handling = { _, effect ->
        if (effect is Effect.ReadFolder && !edited) {
            edited = true
            note("an operator edits between list and read")
            edit()
        }
        Handling.EXECUTE
    }
    folder[A] = "a: 2"
    folder[B] = "b: 2"
    run(2_000)
}

private fun Session.flap() {
    publishFirst()
    var lists = 0
    handling = { _, effect ->
        if (effect is Effect.ListFolder && lists++ < 40) folder[A] = "a: flap$lists"
        Handling.EXECUTE
    }
    folder[A] = "a: 2"
    run(1_000)
    check(head?.version?.value == 1L) { "a folder that changed during the scan was published" }
    run(4_000)
}

private fun Session.badFolder() {
    publishFirst()
    note("a half-written file")
    folder[B] = "b: {"
    run(1_000)
    check(head?.version?.value == 1L && status?.errors == listOf("20-b.yaml:1: unclosed brace; close it"))
    note("the file is complete")
    folder[B] = "b: 1"
    run(1_000)
}

private fun Session.batchedEdits() {
    folder[A] = "profile: bytes"
    start()
    runUntil("first version") { state(nodes.first()).applied != null }
    for (edit in 1..4) {
        folder[B] = "b: $edit"
        run(400)
    }
    run(5_000)
}

private fun Session.takeover(beforeTakeover: Session.(NodeId) -> Unit = {}) {
    pausedPublisher(beforeTakeover) { other ->
        runUntil("publish by $other") { published == mapOf("a" to "3") }
    }
    check(notices.any { it.second is Notice.LeaseLost })
}

/** Both nodes believe to hold the lease, since the clock of the first stands still while the other takes over. */
private fun Session.twoHolders() {
    takeover { freezeClock(it) }
    val holder = nodes.first { it != lease?.holder }
    check(holder to Notice.PublishSuperseded(Epoch(1)) in notices) { "the first holder was not overruled" }
}

/** The other node holds the lease but has not published: only the condition on the lease row stops the first one. */
private fun Session.takeoverWithoutPublish() {
    val holdScans: Session.(NodeId) -> Unit = { holder ->
        handling = { node, effect ->
            if (node != holder && effect is Effect.ListFolder) Handling.HOLD else Handling.EXECUTE
        }
    }
    pausedPublisher(holdScans) { check(head?.version?.value == 1L) { "the other node has published" } }
}

private fun Session.manyVersions() {
    publishFirst()
    for (edit in 2..14) {
        folder[A] = "a: $edit"
        runUntil("version $edit") { head?.version?.value == edit.toLong() }
    }
    run(1_000)
    val kept = store.documents.keys.mapNotNull { StoreKeys.documentVersion(it)?.value }
    check(kept.sorted() == (5L..14L).toList()) { "kept documents: $kept" }
}

/** The holder stops; the other node publishes well before the lease would have expired. */
private fun Session.orderlyStop() {
    publishFirst()
    val holder = checkNotNull(lease).holder
    run(3_000)
    send(holder, Event.StopRequested(stamp(holder)))
    folder[A] = "a: 2"
    runUntil("publish by the other node", limitMillis = 5_000) { published == mapOf("a" to "2") }
    check(lease?.holder != holder)
}

/** A program of a newer version left a configuration that this one cannot apply. */
private fun Session.refusedVersion() {
    publishFirst()
    folder[B] = "future: 1"
    run(2_000)
    check(notices.count { it.second is Notice.ConfigRefused } == 1) { "the refusal was not reported once" }
    check(state(nodes.first()).applied?.id?.version?.value == 1L) { "a refused configuration was applied" }
    folder.remove(B)
    run(2_000)
}

internal val PUBLISH_SCENARIOS: List<Scenario> =
    listOf(
        Scenario("normal-change", "a lost edit", 2, mapOf("a" to "1", "b" to "1"), golden = true) {
            publishFirst()
            note("an operator adds a file")
            folder[B] = "b: 1"
            run(1_500)
        },
        Scenario("removed-file", "a deletion that reverts to an older version", 2, emptyMap()) {
            publishFirst()
            folder.clear()
            run(1_500)
        },
        Scenario("racing-edit", "a partly saved edit", 2, mapOf("a" to "3", "b" to "3"), golden = true) {
            whileReading {
                folder[A] = "a: 3"
                folder[B] = "b: 3"
            }
        },
        Scenario("removed-while-read", "a document with a removed file", 2, mapOf("a" to "2")) {
            whileReading { folder.remove(B) }
        },
        Scenario("flapping-folder", "a mix of two saves", 2, mapOf("a" to "flap40"), script = Session::flap),
        Scenario(
            "bad-folder",
            "a rejected folder that replaces the accepted one",
            2,
            mapOf("a" to "1", "b" to "1"),
            errors = emptyList(),
            golden = true,
            script = Session::badFolder,
        ),
        Scenario("lost-publish-effect", "a second version for one edit", 2, mapOf("a" to "2"), golden = true) {
            onHeadMove(Handling.LOSE_AFTER)
        },
        Scenario("lost-publish-no-effect", "an edit that is taken for published", 2, mapOf("a" to "2"), golden = true) {
            onHeadMove(Handling.LOSE_BEFORE)
        },
        Scenario("publish-refused", "an edit that is dropped", 2, mapOf("a" to "2")) {
            onHeadMove(Handling.UNAVAILABLE)
        },
        Scenario("lost-renewal-effect", "a lease dropped for a lost answer", 2, mapOf("a" to "2")) {
            onRenewal(Handling.LOSE_AFTER)
            check(notices.none { it.second is Notice.LeaseLost })
        },
        Scenario("lost-renewal-no-effect", "a lease dropped for a lost answer", 2, mapOf("a" to "2")) {
            onRenewal(Handling.LOSE_BEFORE)
            check(notices.none { it.second is Notice.LeaseLost })
        },
        Scenario(
            "paused-publisher",
            "a holder that publishes after its lease expired",
            2,
            mapOf("a" to "3"),
            nodes = listOf("n1", "n2"),
            golden = true,
            script = { takeover() },
        ),
        Scenario(
            "two-holders",
            "two documents under one version",
            2,
            mapOf("a" to "3"),
            nodes = listOf("n1", "n2"),
            script = Session::twoHolders,
        ),
        Scenario("store-outage", "publishing that does not resume", 2, mapOf("a" to "2"), golden = true) {
            outage(20_000, Handling.UNAVAILABLE)
        },
        Scenario("long-outage", "backoff that grows beyond its cap", 2, mapOf("a" to "2")) {
            outage(180_000, Handling.UNAVAILABLE)
        },
        Scenario("silent-store", "writes repeated without reading back", 2, mapOf("a" to "2")) {
            outage(60_000, Handling.LOSE_BEFORE)
        },
        Scenario(
            "batched-edits",
            "a version for each of several quick edits",
            2,
            mapOf("profile" to "bytes", "b" to "4"),
        ) {
            batchedEdits()
        },
        Scenario(
            "takeover-without-publish",
            "a publish by a node that lost the lease",
            2,
            mapOf("a" to "3"),
            nodes = listOf("n1", "n2"),
            script = Session::takeoverWithoutPublish,
        ),
        Scenario("many-versions", "documents that pile up", 14, mapOf("a" to "14"), script = Session::manyVersions),
        Scenario(
            "orderly-stop",
            "a lease that stays with a node that is gone",
            2,
            mapOf("a" to "2"),
            nodes = listOf("n1", "n2"),
            script = Session::orderlyStop,
        ),
        Scenario(
            "refused-version",
            "a version that is applied in part",
            3,
            mapOf("a" to "1"),
            script = Session::refusedVersion,
        ),
        Scenario("store-forgets-head", "a version number that is given out twice", 2, mapOf("a" to "1")) {
            publishFirst()
            store = store.copy(rows = emptyMap())
            run(20_000)
        },
    )
