package boragelever.core.config

import boragelever.core.Fingerprint
import boragelever.core.RouteName
import boragelever.core.ServiceName

/** A typed, validated configuration. Each destination of a route is a declared service. */
public data class Configuration(
    public val services: Map<ServiceName, ServiceConfig> = emptyMap(),
    public val routes: Map<RouteName, RouteConfig> = emptyMap(),
    public val limits: LimitsConfig = LimitsConfig(),
    public val quarantine: QuarantineConfig = QuarantineConfig(),
    public val dissemination: DisseminationConfig = DisseminationConfig(),
)

/** Settings of one service. */
public data class ServiceConfig(
    /** Time allowed for requests in flight to finish after an instance starts draining. */
    public val drainMillis: Long = 600_000,
    /** Time over which the traffic of a new instance is increased to its full share. */
    public val slowStartMillis: Long = 10_000,
    /** Maximum number of connections to one instance, across all callers. */
    public val maxConnections: Int = 1_024,
    public val queue: QueueConfig = QueueConfig(),
    public val outlier: OutlierConfig = OutlierConfig(),
    public val locality: LocalityConfig = LocalityConfig(),
)

/** Queue of calls that wait for a slot of one instance. */
public data class QueueConfig(
    /** Maximum number of waiting calls; further calls are shed. */
    public val maxWaiting: Int = 16,
    /** Maximum wait for a slot; a call that waits longer is shed. */
    public val maxWaitMillis: Long = 100,
)

/** Outlier detection: ejects instances that fail repeatedly. */
public data class OutlierConfig(
    public val consecutiveFailures: Int = 5,
    /** Duration of the first ejection; it doubles with each further one. */
    public val ejectMillis: Long = 5_000,
    /** Maximum percentage of instances that may be ejected at the same time. */
    public val maxEjectedPercent: Int = 50,
    /** Panic threshold: ejections are ignored if the percentage of healthy instances is lower than this. */
    public val panicPercent: Int = 30,
)

/** Locality-aware load balancing across zones and regions. */
public data class LocalityConfig(
    /** Percentage of busy slots in a tier above which calls start to overflow to the next tier. */
    public val spillPercent: Int = 80,
    public val crossRegion: CrossRegion = CrossRegion.SPILL,
)

/** Whether calls may leave their region. */
public enum class CrossRegion {
    /** Calls overflow to other regions in proportion to the free slots there. */
    SPILL,

    /** Calls go to other regions only if the local region has no usable instance. */
    LAST_RESORT,

    /** Calls never leave the region. */
    NEVER,
}

/** Settings of one route: which requests it matches and how they are handled. */
public data class RouteConfig(
    /** Host to match, without port, or `null` for any host. */
    public val host: String? = null,
    public val pathPrefix: String,
    /** Methods to match; an empty set matches any method. */
    public val methods: Set<String> = emptySet(),
    /** Relative weight of each destination service. */
    public val destinations: Map<ServiceName, Int>,
    public val timeoutMillis: Long = 15_000,
    /** Latency objective; responses within it count in full. */
    public val objectiveMillis: Long = 1_000,
    /** Priority for load shedding; 0 is shed last. */
    public val priority: Int = 2,
    /** Maximum time between two bytes of a response body; beyond it the response counts as stalled. */
    public val idleTimeoutMillis: Long = 5_000,
    /** Maximum duration of a call including its response body, or 0 for no limit. */
    public val totalTimeoutMillis: Long = 0,
    public val retry: RetryConfig = RetryConfig(),
    public val idempotency: IdempotencyConfig = IdempotencyConfig(),
)

/** Retry policy of a route. Only idempotent calls and calls that provably did not run are retried. */
public data class RetryConfig(
    /** Maximum number of attempts, including the first. */
    public val maxAttempts: Int = 3,
    /** Retry budget as a percentage of recent calls. */
    public val budgetPercent: Int = 20,
    /** Timeout for the response headers of one attempt. */
    public val attemptTimeoutMillis: Long = 5_000,
    /** Delay after which a second copy of a GET or HEAD request is sent; 0 disables hedging. */
    public val hedgeAfterMillis: Long = 0,
)

/** Which calls of a route may be executed more than once. */
public enum class Repeatability {
    /** Calls whose method is idempotent. */
    BY_METHOD,

    /** All calls. */
    ALWAYS,

    /** No call. */
    NEVER,
}

/** Idempotency rules of a route. */
public data class IdempotencyConfig(
    /** Whether non-idempotent calls without an `Idempotency-Key` header are refused. */
    public val requireKey: Boolean = false,
    public val repeatable: Repeatability = Repeatability.BY_METHOD,
    /** Methods that count as idempotent with [Repeatability.BY_METHOD]. */
    public val idempotentMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"),
    /** Retention period of a claim and its recorded response. */
    public val keepOutcomeMillis: Long = 86_400_000,
    /** Maximum size of a response body that is recorded for client retries. */
    public val maxKeptBodyBytes: Long = 65_536,
)

/** Limits of each proxy. */
public data class LimitsConfig(
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Long = 67_108_864,
    public val maxConnections: Int = 1_024,
    public val maxConcurrentCalls: Int = 512,
    /** Timeout for receiving the headers of a request. */
    public val headerTimeoutMillis: Long = 10_000,
    /** Time after which an idle connection of a caller is closed. */
    public val callerIdleMillis: Long = 75_000,
)

/** Quarantine: requests that repeatedly crash upstreams are refused. */
public data class QuarantineConfig(
    public val deaths: Int = 2,
    public val durationMillis: Long = 86_400_000,
    /** Fingerprints that operators exempt from the quarantine. */
    public val lifted: Set<Fingerprint> = emptySet(),
)

/** How new configuration versions are distributed. */
public data class DisseminationConfig(
    public val profile: DisseminationProfile = DisseminationProfile.CONVERGENCE,
    /** Window in which edits are batched into one version; used by [DisseminationProfile.BYTES]. */
    public val batchWindowMillis: Long = 500,
    public val relaysPerRegion: Int = 2,
)

/** What the distribution of configuration is optimized for. */
public enum class DisseminationProfile {
    /** Convergence time: changes are published and pushed immediately. */
    CONVERGENCE,

    /** Traffic volume: edits are batched and deltas are sent to receivers that have an earlier document. */
    BYTES,

    /** Each node polls the store once per second; a baseline for comparison. */
    POLL,
}

/** Returns whether a call with [method] may be executed more than once. */
public fun IdempotencyConfig.allowsRepeat(method: String): Boolean =
    when (repeatable) {
        Repeatability.BY_METHOD -> method in idempotentMethods
        Repeatability.ALWAYS -> true
        Repeatability.NEVER -> false
    }
