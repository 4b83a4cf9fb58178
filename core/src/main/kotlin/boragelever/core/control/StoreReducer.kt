package boragelever.core.control

import boragelever.core.EventContext
import boragelever.core.store.StoreCommand
import boragelever.core.store.StoreFailure
import boragelever.core.store.StoreResult
import boragelever.core.store.WriteId

/** Health of the store as observed by this node, and the circuit breaker in front of it. */
public data class StoreState(
    public val health: StoreHealth = StoreHealth.NeverReached,
    public val breaker: StoreBreaker = StoreBreaker.Closed(),
)

/** Health of the store as observed by this node. Times are monotonic. */
public sealed interface StoreHealth {
    /** The store has not responded to any command since the start. */
    public data object NeverReached : StoreHealth

    /** The store responds to commands. */
    public data class Reachable(public val sinceMillis: Long, public val lastResponseMillis: Long) : StoreHealth

    /** Several consecutive commands failed; [lastResponseMillis] is the time of the last response, or `null`. */
    public data class Unreachable(
        public val sinceMillis: Long,
        public val lastResponseMillis: Long?,
        public val failure: StoreFailure,
    ) : StoreHealth
}

/** Circuit breaker in front of the store. */
public sealed interface StoreBreaker {
    /** Commands are admitted; the last [failures] commands failed. */
    public data class Closed(public val failures: Int = 0) : StoreBreaker

    /** No command is admitted before [untilMillis]; [openCount] counts openings since the last response. */
    public data class Open(public val untilMillis: Long, public val openCount: Int) : StoreBreaker

    /** One command is admitted as a probe; [probe] is its request once it was sent. */
    public data class HalfOpen(public val openCount: Int, public val probe: RequestId? = null) : StoreBreaker
}

/** Time since the last response of the store in milliseconds, or `null` before the first. */
public fun StoreState.lastResponseAgeMillis(nowMillis: Long): Long? =
    when (health) {
        is StoreHealth.NeverReached -> null
        is StoreHealth.Reachable -> nowMillis - health.lastResponseMillis
        is StoreHealth.Unreachable -> health.lastResponseMillis?.let { nowMillis - it }
    }

internal fun reduceStore(state: ControlState, event: Event): Transition =
    when (event) {
        is Event.Ticked -> state.copy(store = state.store.afterTick(event.context)).withoutEffects()
        is Event.StoreCommandCompleted -> state.observeStore(event.result, event.context)
        else -> state.withoutEffects()
    }

/** True if the circuit breaker currently admits a command. */
internal fun ControlState.admitsStoreCalls(): Boolean =
    when (val breaker = store.breaker) {
        is StoreBreaker.Closed -> true
        is StoreBreaker.Open -> false
        is StoreBreaker.HalfOpen -> breaker.probe == null
    }

/** A command that is ready to be sent, with the state that counts its request. */
internal data class StoreCall(val state: ControlState, val request: RequestId, val command: StoreCommand) {
    /** Applies [change] to the state and sends the command. */
    inline fun send(change: ControlState.() -> ControlState): Transition =
        state.change().with(Effect.CallStore(request, command))
}

/** Prepares [command]; if the breaker is half open and has no probe, the command becomes the probe. */
internal fun ControlState.callStore(owner: RequestOwner, command: StoreCommand): StoreCall {
    val (next, request) = nextRequest(owner)
    val breaker = next.store.breaker
    val withProbe =
        if (breaker is StoreBreaker.HalfOpen && breaker.probe == null) {
            next.copy(store = next.store.copy(breaker = breaker.copy(probe = request)))
        } else {
            next
        }
    return StoreCall(withProbe, request, command)
}

/**
 * Returns a write id for the next request.
 *
 * Node and incarnation distinguish processes, the request number distinguishes the writes of a process, and the seed
 * distinguishes two processes that were started with the same node name in the same second.
 */
internal fun ControlState.nextWriteId(context: EventContext): WriteId =
    WriteId("${identity.node}/${identity.incarnation}/${lastRequest + 1}/${context.seed.toULong().toString(HEX_RADIX)}")

private fun StoreState.afterTick(context: EventContext): StoreState =
    if (breaker is StoreBreaker.Open && context.nowMillis >= breaker.untilMillis) {
        copy(breaker = StoreBreaker.HalfOpen(breaker.openCount))
    } else {
        this
    }

private fun ControlState.observeStore(result: StoreResult, context: EventContext): Transition {
    if (result !is StoreResult.StoreFailed) return storeResponded(context)
    return when (val failure = result.failure) {
        is StoreFailure.Unavailable, is StoreFailure.OutcomeUnknown -> recordStoreFailure(failure, context)
        is StoreFailure.Invalid -> {
            val responded = storeResponded(context)
            Transition(responded.state, responded.effects + report(Notice.StoreRefused(failure)))
        }
    }
}

private fun ControlState.storeResponded(context: EventContext): Transition {
    val nowMillis = context.nowMillis
    val health = store.health
    val sinceMillis = if (health is StoreHealth.Reachable) health.sinceMillis else nowMillis
    val next = copy(store = StoreState(StoreHealth.Reachable(sinceMillis, nowMillis), StoreBreaker.Closed()))
    return if (health is StoreHealth.Unreachable) next.with(report(Notice.StoreReachable)) else next.withoutEffects()
}

private fun ControlState.recordStoreFailure(failure: StoreFailure, context: EventContext): Transition =
    when (val breaker = store.breaker) {
        is StoreBreaker.Open -> withoutEffects()
        is StoreBreaker.HalfOpen -> openBreaker(breaker.openCount + 1, failure, context)
        is StoreBreaker.Closed ->
            if (breaker.failures + 1 < BREAKER_FAILURE_THRESHOLD) {
                copy(store = store.copy(breaker = StoreBreaker.Closed(breaker.failures + 1))).withoutEffects()
            } else {
                openBreaker(1, failure, context)
            }
    }

private fun ControlState.openBreaker(openCount: Int, failure: StoreFailure, context: EventContext): Transition {
    val waitMillis = context.fullJitterMillis("store", openCount, BREAKER_BASE_WAIT_MILLIS, BREAKER_MAX_WAIT_MILLIS)
    val breaker = StoreBreaker.Open(context.nowMillis + maxOf(waitMillis, BREAKER_MIN_WAIT_MILLIS), openCount)
    return when (val health = store.health) {
        is StoreHealth.Unreachable -> copy(store = store.copy(breaker = breaker)).withoutEffects()
        is StoreHealth.NeverReached -> markUnreachable(breaker, null, failure, context)
        is StoreHealth.Reachable -> markUnreachable(breaker, health.lastResponseMillis, failure, context)
    }
}

private fun ControlState.markUnreachable(
    breaker: StoreBreaker,
    lastResponseMillis: Long?,
    failure: StoreFailure,
    context: EventContext,
): Transition {
    val health = StoreHealth.Unreachable(context.nowMillis, lastResponseMillis, failure)
    return copy(store = StoreState(health, breaker)).with(report(Notice.StoreUnreachable(failure)))
}

/** Consecutive failures that open the breaker; with fewer, a single lost connection would open it. */
private const val BREAKER_FAILURE_THRESHOLD = 3
private const val BREAKER_BASE_WAIT_MILLIS = 500L

/** Longest wait before a probe; publishing resumes within this time after an outage. */
private const val BREAKER_MAX_WAIT_MILLIS = 5_000L
private const val BREAKER_MIN_WAIT_MILLIS = 100L
private const val HEX_RADIX = 16
