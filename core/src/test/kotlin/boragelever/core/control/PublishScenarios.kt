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

/** A scripted session that guards against [failure], and the contents of the store that are expected at its end. */
data class Scenario(
    val name: String,
    val failure: String,
    val version: Long,
    val published: Map<String, String>,
    val errors: List<String>? = null,
    val nodes: List<String> = listOf("n1"),
    val golden: Boolean = false,
    val script: Session.() -> Unit,
) {
    override fun toString(): String = "$name guards against $failure"
}

private val A = FileName("10-a.yaml")
private val B = FileName("20-b.yaml")

internal fun Session.publishFirst() {
    folder[A] = "a: 1"
    start()
    runUntil("first version") { head?.version?.value == 1L && state(nodes.first()).applied != null }
}

private fun isHeadWrite(effect: Effect): Boolean = writesRow(effect, StoreKeys.HEAD)

private fun isRenewal(effect: Effect): Boolean =
    writesRow(effect, StoreKeys.LEASE) && !isHeadWrite(effect) && !writesRow(effect, StoreKeys.STATUS)

private fun writesRow(effect: Effect, key: RowKey): Boolean {
    val command = (effect as? Effect.CallStore)?.command as? StoreCommand.Transact ?: return false
    return command.writes.any { it is RowWrite.Put && it.key == key }
}

/** Applies [how] to the first effect that [matches]; all others are executed. */
private fun Session.once(how: Handling, matches: (Effect) -> Boolean) {
    var isDone = false
    handling = { _, effect ->
        if (!isDone && matches(effect)) {
            isDone = true
            how
        } else {
            Handling.EXECUTE
        }
    }
}

private fun Session.faultOnHeadWrite(how: Handling) {
    publishFirst()
    note("the next head transaction: $how")
    once(how, ::isHeadWrite)
    folder[A] = "a: 2"
    run(2_500)
}

private fun Session.faultOnRenewal(how: Handling) {
    publishFirst()
    once(how, ::isRenewal)
    run(3_000)
    folder[A] = "a: 2"
    run(2_000)
}

/** Holds the head transaction of the lease holder until another node has acquired the lease and [meanwhile] has run. */
private fun Session.takeoverFromPausedHolder(
    beforeTakeover: Session.(NodeId) -> Unit = {},
    meanwhile: Session.(NodeId) -> Unit,
) {
    publishFirst()
    val holder = checkNotNull(lease).holder
    note("$holder is paused with its head transaction unsent")
    handling = { node, effect -> if (node == holder && isHeadWrite(effect)) Handling.HOLD else Handling.EXECUTE }
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
    executeHeld()
    resume(holder)
    run(1_000)
}

private fun Session.storeOutage(millis: Long, how: Handling) {
    publishFirst()
    note("the store is out for $millis ms")
    handling = { _, _ -> how }
    folder[A] = "a: 2"
    run(millis)
    check(state(nodes.first()).applied?.id?.version?.value == 1L) { "the applied version changed during the outage" }
    check(state(nodes.first()).lease !is LeaseState.Held) { "the lease was held beyond its duration" }
    note("the store is back")
    handling = { _, _ -> Handling.EXECUTE }
    runUntil("publish after the outage", limitMillis = 12_000) { published == mapOf("a" to "2") }
}

/** Runs [edit] between the first listing of a scan and the read of the files. */
private fun Session.editWhileReading(edit: Session.() -> Unit) {
    publishFirst()
    var isEdited = false
    handling = { _, effect ->
        if (effect is Effect.ReadFolder && !isEdited) {
            isEdited = true
            note("an operator edits between list and read")
            edit()
        }
        Handling.EXECUTE
    }
    folder[A] = "a: 2"
    folder[B] = "b: 2"
    run(2_000)
}

private fun Session.editDuringScans() {
    publishFirst()
    var listings = 0
    handling = { _, effect ->
        if (effect is Effect.ListFolder && listings++ < 40) folder[A] = "a: flap$listings"
        Handling.EXECUTE
    }
    folder[A] = "a: 2"
    run(1_000)
    check(head?.version?.value == 1L) { "a folder that changed during the scan was published" }
    run(4_000)
}

private fun Session.rejectFolder() {
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
    takeoverFromPausedHolder(beforeTakeover) { other ->
        runUntil("publish by $other") { published == mapOf("a" to "3") }
    }
    check(notices.any { it.second is Notice.LeaseLost })
}

/** Both nodes are in the held state, since the clock of the first is stopped while the other acquires the lease. */
private fun Session.takeoverWithStoppedClock() {
    takeover { freezeClock(it) }
    val holder = nodes.first { it != lease?.holder }
    check(holder to Notice.PublishSuperseded(Epoch(1)) in notices) { "the first holder was not superseded" }
}

/** The other node holds the lease but has not published, so only the condition on the lease row stops the first one. */
private fun Session.takeoverWithoutPublish() {
    val holdOtherScans: Session.(NodeId) -> Unit = { holder ->
        handling = { node, effect ->
            if (node != holder && effect is Effect.ListFolder) Handling.HOLD else Handling.EXECUTE
        }
    }
    takeoverFromPausedHolder(holdOtherScans) { check(head?.version?.value == 1L) { "the other node has published" } }
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

/** The lease holder stops; the other node publishes well before the lease would have expired. */
private fun Session.stopHolder() {
    publishFirst()
    val holder = checkNotNull(lease).holder
    run(3_000)
    send(holder, Event.StopRequested(eventContext(holder)))
    folder[A] = "a: 2"
    runUntil("publish by the other node", limitMillis = 5_000) { published == mapOf("a" to "2") }
    check(lease?.holder != holder)
}

/** A newer program version left a configuration that this version cannot apply. */
private fun Session.publishRefusedVersion() {
    publishFirst()
    folder[B] = "future: 1"
    run(2_000)
    check(notices.count { it.second is Notice.ConfigRefused } == 1) { "the refusal was not reported exactly once" }
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
            editWhileReading {
                folder[A] = "a: 3"
                folder[B] = "b: 3"
            }
        },
        Scenario("removed-while-read", "a document with a removed file", 2, mapOf("a" to "2")) {
            editWhileReading { folder.remove(B) }
        },
        Scenario("flapping-folder", "a mix of two saves", 2, mapOf("a" to "flap40"), script = Session::editDuringScans),
        Scenario(
            "bad-folder",
            "a rejected folder that replaces the accepted one",
            2,
            mapOf("a" to "1", "b" to "1"),
            errors = emptyList(),
            golden = true,
            script = Session::rejectFolder,
        ),
        Scenario("lost-publish-effect", "two versions for one edit", 2, mapOf("a" to "2"), golden = true) {
            faultOnHeadWrite(Handling.LOSE_AFTER)
        },
        Scenario("lost-publish-no-effect", "an edit that counts as published", 2, mapOf("a" to "2"), golden = true) {
            faultOnHeadWrite(Handling.LOSE_BEFORE)
        },
        Scenario("publish-refused", "an edit that is never published", 2, mapOf("a" to "2")) {
            faultOnHeadWrite(Handling.UNAVAILABLE)
        },
        Scenario("lost-renewal-effect", "a lease given up for a lost result", 2, mapOf("a" to "2")) {
            faultOnRenewal(Handling.LOSE_AFTER)
            check(notices.none { it.second is Notice.LeaseLost })
        },
        Scenario("lost-renewal-no-effect", "a lease given up for a lost result", 2, mapOf("a" to "2")) {
            faultOnRenewal(Handling.LOSE_BEFORE)
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
            "two documents with the same version",
            2,
            mapOf("a" to "3"),
            nodes = listOf("n1", "n2"),
            script = Session::takeoverWithStoppedClock,
        ),
        Scenario("store-outage", "publishing that does not resume", 2, mapOf("a" to "2"), golden = true) {
            storeOutage(20_000, Handling.UNAVAILABLE)
        },
        Scenario("long-outage", "backoff that grows beyond its cap", 2, mapOf("a" to "2")) {
            storeOutage(180_000, Handling.UNAVAILABLE)
        },
        Scenario("silent-store", "writes retried without reading back", 2, mapOf("a" to "2")) {
            storeOutage(60_000, Handling.LOSE_BEFORE)
        },
        Scenario(
            "batched-edits",
            "one version for each of several quick edits",
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
        Scenario("many-versions", "old documents that pile up", 14, mapOf("a" to "14"), script = Session::manyVersions),
        Scenario(
            "orderly-stop",
            "a lease that stays with a stopped node until it expires",
            2,
            mapOf("a" to "2"),
            nodes = listOf("n1", "n2"),
            script = Session::stopHolder,
        ),
        Scenario(
            "refused-version",
            "a version that is partially applied",
            3,
            mapOf("a" to "1"),
            script = Session::publishRefusedVersion,
        ),
        Scenario("store-forgets-head", "a version number that is assigned twice", 2, mapOf("a" to "1")) {
            publishFirst()
            store = store.copy(rows = emptyMap())
            run(20_000)
        },
    )
