package boragelever.core.control

import boragelever.core.Stamp
import boragelever.core.store.StoreAnswer
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.WriteId

/** What this node knows about the health of the store. */
public data class StoreState(
    public val health: StoreHealth = StoreHealth.NeverReached,
    public val breaker: StoreBreaker = StoreBreaker.Closed(),
)

/** Reachability of the store as seen by this node. Times are monotonic. */
public sealed interface StoreHealth {
    /** No command was answered since the start. */
    public data object NeverReached : StoreHealth

    /** The store answers. */
    public data class Reachable(public val sinceMillis: Long, public val answeredMillis: Long) : StoreHealth

    /** Several commands in a row failed; [answeredMillis] is the time of the last answer, if there was one. */
    public data class Unreachable(
        public val sinceMillis: Long,
        public val answeredMillis: Long?,
        public val failure: StoreFailure,
    ) : StoreHealth
}

/** Circuit breaker in front of the store. */
public sealed interface StoreBreaker {
    /** Commands pass; [failures] failed in a row. */
    public data class Closed(public val failures: Int = 0) : StoreBreaker

    /** No command passes before [untilMillis]; [opened] counts openings without an answer between them. */
    public data class Open(public val untilMillis: Long, public val openCount: Int) : StoreBreaker

    /** One command passes as a probe; it is [probe] once it was sent. */
    public data class HalfOpen(public val openCount: Int, public val probe: RequestId? = null) : StoreBreaker
}

/** Age of this node's view of the store in milliseconds, or `null` if the store never answered. */
public fun StoreState.lastAnswerAgeMillis(nowMillis: Long): Long? =
    when (health) {
        is StoreHealth.NeverReached -> null
        is StoreHealth.Reachable -> nowMillis - health.answeredMillis
        is StoreHealth.Unreachable -> health.answeredMillis?.let { nowMillis - it }
    }

internal fun reduceStore(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Ticked -> state.copy(store = state.store.afterTick(event.stamp)).withoutEffects()
        is Event.StoreCommandCompleted -> state.observeStore(event.result, event.stamp)
        else -> state.withoutEffects()
    }

/** True if the circuit breaker lets a command pass now. */
internal fun ControlState.admitsStoreCalls(): Boolean =
    when (val breaker = store.breaker) {
        is StoreBreaker.Closed -> true
        is StoreBreaker.Open -> false
        is StoreBreaker.HalfOpen -> breaker.probe == null
    }

/** A command on its way to the store, with the state that counts it. */
internal data class StoreCall(val state: ControlState, val request: RequestId, val command: StoreCommand) {
    /** Sends the command after [change] was made to the state. */
    inline fun send(change: ControlState.() -> ControlState): Transition =
        state.change().with(Effect.CallStore(request, command))
}

/** Prepares [command]; while the breaker is half open it becomes the probe. */
internal fun ControlState.callStore(owner: RequestOwner, command: StoreCommand): StoreCall {
    val (next, request) = nextRequest(owner)
    val breaker = next.store.breaker
    val probing =
        if (breaker is StoreBreaker.HalfOpen && breaker.probe == null) {
            next.copy(store = next.store.copy(breaker = breaker.copy(probe = request)))
        } else {
            next
        }
    return StoreCall(probing, request, command)
}

/**
 * Returns a write id for the next request.
 *
 * Node and incarnation tell processes apart, the request number tells the writes of one process apart, and the seed
 * tells apart two processes that were started under one name in the same second.
 */
internal fun ControlState.nextWriteId(stamp: Stamp): WriteId =
    WriteId("${identity.node}/${identity.incarnation}/${lastRequest + 1}/${stamp.seed.toULong().toString(HEX)}")

private fun StoreState.afterTick(stamp: Stamp): StoreState =
    if (breaker is StoreBreaker.Open && stamp.nowMillis >= breaker.untilMillis) {
        copy(breaker = StoreBreaker.HalfOpen(breaker.openCount))
    } else {
        this
    }

private fun ControlState.observeStore(answer: StoreAnswer, stamp: Stamp): Transition {
    if (answer !is StoreAnswer.StoreFailed) return storeAnswered(stamp)
    return when (val failure = answer.failure) {
        is StoreFailure.Unavailable, is StoreFailure.AnswerLost -> storeFailed(failure, stamp)
        is StoreFailure.Invalid -> {
            val answered = storeAnswered(stamp)
            Transition(answered.state, answered.effects + report(Notice.StoreRefused(failure)))
        }
    }
}

private fun ControlState.storeAnswered(stamp: Stamp): Transition {
    val now = stamp.nowMillis
    val view = store.health
    val sinceMillis = if (view is StoreHealth.Reachable) view.sinceMillis else now
    val next = copy(store = StoreState(StoreHealth.Reachable(sinceMillis, now), StoreBreaker.Closed()))
    return if (view is StoreHealth.Unreachable) next.with(report(Notice.StoreReachable)) else next.withoutEffects()
}

private fun ControlState.storeFailed(failure: StoreFailure, stamp: Stamp): Transition =
    when (val breaker = store.breaker) {
        is StoreBreaker.Open -> withoutEffects()
        is StoreBreaker.HalfOpen -> openBreaker(breaker.openCount + 1, failure, stamp)
        is StoreBreaker.Closed ->
            if (breaker.failures + 1 < BREAKER_FAILURES) {
                copy(store = store.copy(breaker = StoreBreaker.Closed(breaker.failures + 1))).withoutEffects()
            } else {
                openBreaker(1, failure, stamp)
            }
    }

private fun ControlState.openBreaker(opened: Int, failure: StoreFailure, stamp: Stamp): Transition {
    val waitMillis = stamp.fullJitterMillis("store", opened, BREAKER_BASE_MILLIS, BREAKER_CAP_MILLIS)
    val breaker = StoreBreaker.Open(stamp.nowMillis + maxOf(waitMillis, BREAKER_MIN_MILLIS), opened)
    return when (val view = store.health) {
        is StoreHealth.Unreachable -> copy(store = store.copy(breaker = breaker)).withoutEffects()
        is StoreHealth.NeverReached -> markUnreachable(breaker, null, failure, stamp)
        is StoreHealth.Reachable -> markUnreachable(breaker, view.answeredMillis, failure, stamp)
    }
}

private fun ControlState.markUnreachable(
    breaker: StoreBreaker,
    answeredMillis: Long?,
    failure: StoreFailure,
    stamp: Stamp,
): Transition {
    val view = StoreHealth.Unreachable(stamp.nowMillis, answeredMillis, failure)
    return copy(store = StoreState(view, breaker)).with(report(Notice.StoreUnreachable(failure)))
}

/** Failures in a row that open the breaker; fewer would open it on a single lost connection. */
private const val BREAKER_FAILURES = 3
private const val BREAKER_BASE_MILLIS = 500L

/** Longest wait between two probes; publishing resumes within this time after an outage. */
private const val BREAKER_CAP_MILLIS = 5_000L
private const val BREAKER_MIN_MILLIS = 100L
private const val HEX = 16
