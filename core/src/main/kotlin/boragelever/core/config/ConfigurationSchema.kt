package boragelever.core.config

import boragelever.core.Fingerprint
import boragelever.core.RouteName
import boragelever.core.ServiceName

private const val DAY_MILLIS = 86_400_000L

/** Range of most durations: zero would disable the timeout, and more than a day is most likely a wrong unit. */
private val DURATION_RANGE = 1L..DAY_MILLIS

/** Claims are retained for at least a day, since callers may retry for that long. */
private val CLAIM_RETENTION_RANGE = DAY_MILLIS..30 * DAY_MILLIS

internal val nameRule: TextRule =
    TextRule(
        name = "a name",
        format = "1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit",
        pattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
    )

private val hostRule =
    TextRule(
        name = "a host",
        format = "a host name in lower case without port, such as fitbook.internal",
        pattern = Regex("[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?"),
    )

private val pathPrefixRule =
    TextRule(
        name = "a path prefix",
        format = "a path that begins with '/' and has no space, '?' or '#'",
        pattern = Regex("/[!-~&&[^?#]]*"),
    )

private val methodRule =
    TextRule(
        name = "a method",
        format = "a method in upper case, such as GET",
        pattern = Regex("[A-Z][A-Z0-9-]{0,31}"),
    )

private val fingerprintRule =
    TextRule(
        name = "a fingerprint",
        format = "a fingerprint as shown in the status, without spaces",
        pattern = Regex("[!-~]{1,256}"),
    )

private val queueSchema =
    recordSchema(QueueConfig()) { default ->
        val maxWaiting = count(
            "max_waiting",
            default.maxWaiting,
            0..100_000,
            "Maximum number of waiting calls; further calls are shed as `not-run`.",
        )
        val maxWait = millis(
            "max_wait_ms",
            default.maxWaitMillis,
            DURATION_RANGE,
            "Maximum wait for a slot; a call that waits longer is shed as `not-run`.",
        )
        buildRecord { QueueConfig(maxWaiting = it[maxWaiting], maxWaitMillis = it[maxWait]) }
    }

private val outlierSchema =
    recordSchema(OutlierConfig()) { default ->
        val failures = count(
            "consecutive_failures",
            default.consecutiveFailures,
            1..1_000,
            "Number of consecutive failures after which an instance is ejected.",
        )
        val eject = millis(
            "eject_ms",
            default.ejectMillis,
            DURATION_RANGE,
            "Duration of the first ejection; it doubles with each further one.",
        )
        val maxEjected = percent(
            "max_ejected_percent",
            default.maxEjectedPercent,
            "Maximum percentage of instances that may be ejected at the same time.",
        )
        val panic = percent(
            "panic_percent",
            default.panicPercent,
            "Panic threshold: ejections are ignored below this percentage of healthy instances.",
        )
        buildRecord { OutlierConfig(it[failures], it[eject], it[maxEjected], it[panic]) }
    }

private val localitySchema =
    recordSchema(LocalityConfig()) { default ->
        val spill = percent(
            "spill_percent",
            default.spillPercent,
            "Percentage of busy slots in a tier above which calls start to overflow to the next tier.",
        )
        val crossRegion = choice(
            "cross_region",
            default.crossRegion,
            CrossRegion.entries,
            "Whether calls may go to other regions: by free slots, only without a usable local instance, or never.",
        )
        buildRecord { LocalityConfig(it[spill], it[crossRegion]) }
    }

private val serviceSchema =
    recordSchema(ServiceConfig()) { default ->
        val drain = millis(
            "drain_ms",
            default.drainMillis,
            DURATION_RANGE,
            "Time allowed for requests in flight to finish after an instance starts draining.",
        )
        val slowStart = millis(
            "slow_start_ms",
            default.slowStartMillis,
            DURATION_RANGE,
            "Time over which the traffic of a new instance is increased to its full share.",
        )
        val connections = count(
            "max_connections",
            default.maxConnections,
            1..1_000_000,
            "Maximum number of connections to one instance, across all callers.",
        )
        val queue = section("queue", queueSchema, "Queue of calls that wait for a slot of one instance.")
        val outlier = section("outlier", outlierSchema, "Outlier detection: ejects instances that fail repeatedly.")
        val locality = section("locality", localitySchema, "Locality-aware load balancing across zones and regions.")
        buildRecord {
            ServiceConfig(it[drain], it[slowStart], it[connections], it[queue], it[outlier], it[locality])
        }
    }

private val retrySchema =
    recordSchema(RetryConfig()) { default ->
        val attempts = count(
            "max_attempts",
            default.maxAttempts,
            1..10,
            "Maximum number of attempts, including the first.",
        )
        val budget = percent(
            "budget_percent",
            default.budgetPercent,
            "Retry budget as a percentage of recent calls.",
        )
        val attemptTimeout = millis(
            "attempt_timeout_ms",
            default.attemptTimeoutMillis,
            DURATION_RANGE,
            "Timeout for the response headers of one attempt.",
        )
        val hedgeAfter = millis(
            "hedge_after_ms",
            default.hedgeAfterMillis,
            0L..DAY_MILLIS,
            "Delay after which a second copy of a GET or HEAD request is sent; 0 disables hedging.",
        )
        buildRecord { RetryConfig(it[attempts], it[budget], it[attemptTimeout], it[hedgeAfter]) }
    }

private val idempotencySchema =
    recordSchema(IdempotencyConfig()) { default ->
        val requireKey = bool(
            "require_key",
            default.requireKey,
            "Whether non-idempotent calls without an `Idempotency-Key` header are refused.",
        )
        val repeatable = choice(
            "repeatable",
            default.repeatable,
            Repeatability.entries,
            "Which calls may be executed more than once: those with an idempotent method, all, or none.",
        )
        val methods = textSet(
            "idempotent_methods",
            methodRule,
            default.idempotentMethods,
            "Methods that count as idempotent and may be retried.",
        )
        val keep = millis(
            "keep_outcome_ms",
            default.keepOutcomeMillis,
            CLAIM_RETENTION_RANGE,
            "Retention period of a claim and its outcome; a key must not be reused after it.",
        )
        val maxKept = bytes(
            "max_kept_body_bytes",
            default.maxKeptBodyBytes,
            0L..16_777_216L,
            "Maximum size of a response body that is recorded for client retries.",
        )
        buildRecord { IdempotencyConfig(it[requireKey], it[repeatable], it[methods], it[keep], it[maxKept]) }
    }

/** Default values of a route. The values of the required keys are placeholders. */
private val routeDefaults = RouteConfig(pathPrefix = "/", destinations = emptyMap())

private val routeSchema =
    recordSchema(routeDefaults) { default ->
        val host = optionalText("host", hostRule, "any host", "Host to match, without port.")
        val pathPrefix = requiredText("path_prefix", pathPrefixRule, "Path prefix to match, at segment boundaries.")
        val methods =
            textSet("methods", methodRule, default.methods, "Methods to match; an empty list matches any method.")
        val destinations = requiredWeights(
            "destinations",
            0L..10_000L,
            "Relative weight of each destination service; at least one weight is positive.",
        )
        val timeout =
            millis("timeout_ms", default.timeoutMillis, DURATION_RANGE, "Timeout of the call, including retries.")
        val objective = millis(
            "objective_ms",
            default.objectiveMillis,
            DURATION_RANGE,
            "Latency objective; responses within it count in full.",
        )
        val priority = count("priority", default.priority, 0..1_000, "Priority for load shedding; 0 is shed last.")
        val idleTimeout = millis(
            "idle_timeout_ms",
            default.idleTimeoutMillis,
            DURATION_RANGE,
            "Maximum time between two bytes of a response body; beyond it the response counts as stalled.",
        )
        val totalTimeout = millis(
            "total_timeout_ms",
            default.totalTimeoutMillis,
            0L..DAY_MILLIS,
            "Maximum duration of the call including its response body, which is then cut off; 0 sets no limit.",
        )
        val retry = section("retry", retrySchema, "Retries of idempotent calls and calls that provably did not run.")
        val idempotency =
            section("idempotency", idempotencySchema, "Rules for calls that must be executed at most once.")
        buildRecord {
            RouteConfig(
                host = it[host],
                pathPrefix = it[pathPrefix],
                methods = it[methods],
                destinations = it[destinations].mapKeys { (name, _) -> ServiceName(name) },
                timeoutMillis = it[timeout],
                objectiveMillis = it[objective],
                priority = it[priority],
                idleTimeoutMillis = it[idleTimeout],
                totalTimeoutMillis = it[totalTimeout],
                retry = it[retry],
                idempotency = it[idempotency],
            )
        }
    }

private val limitsSchema =
    recordSchema(LimitsConfig()) { default ->
        val header = intBytes(
            "max_header_bytes",
            default.maxHeaderBytes,
            1_024..1_048_576,
            "Maximum size of the headers of a request.",
        )
        val body = bytes(
            "max_body_bytes",
            default.maxBodyBytes,
            0L..1_099_511_627_776L,
            "Maximum size of a request body.",
        )
        val connections = count(
            "max_connections",
            default.maxConnections,
            1..1_000_000,
            "Maximum number of caller connections per proxy.",
        )
        val calls = count(
            "max_concurrent_calls",
            default.maxConcurrentCalls,
            1..1_000_000,
            "Maximum number of concurrent calls per proxy.",
        )
        val headerTimeout = millis(
            "header_timeout_ms",
            default.headerTimeoutMillis,
            DURATION_RANGE,
            "Timeout for receiving the headers of a request.",
        )
        val callerIdle = millis(
            "caller_idle_ms",
            default.callerIdleMillis,
            DURATION_RANGE,
            "Time after which an idle connection of a caller is closed.",
        )
        buildRecord {
            LimitsConfig(it[header], it[body], it[connections], it[calls], it[headerTimeout], it[callerIdle])
        }
    }

private val quarantineSchema =
    recordSchema(QuarantineConfig()) { default ->
        val deaths = count(
            "deaths",
            default.deaths,
            1..100,
            "Upstream crashes while running a request, without a completion of it, after which it is refused.",
        )
        val duration = millis(
            "duration_ms",
            default.durationMillis,
            DURATION_RANGE,
            "Time for which the request is refused unless it completes on an instance, and for which crashes count.",
        )
        val lifted =
            textSet(
                "lifted",
                fingerprintRule,
                emptySet(),
                "Fingerprints of requests that are exempt from the quarantine.",
            )
        buildRecord { QuarantineConfig(it[deaths], it[duration], it[lifted].map(::Fingerprint).toSet()) }
    }

private val disseminationSchema =
    recordSchema(DisseminationConfig()) { default ->
        val profile = choice(
            "profile",
            default.profile,
            DisseminationProfile.entries,
            "Optimization goal: convergence time, traffic volume, or the baseline in which each node polls the store.",
        )
        val window = millis(
            "batch_window_ms",
            default.batchWindowMillis,
            1L..60_000L,
            "Window in which edits are batched into one version; used by profile `bytes`.",
        )
        val relays = count(
            "relays_per_region",
            default.relaysPerRegion,
            1..16,
            "Number of members per region that receive new versions from other regions.",
        )
        buildRecord { DisseminationConfig(it[profile], it[window], it[relays]) }
    }

/** Schema of a complete merged configuration. */
internal val configurationSchema: RecordSchema<Configuration> =
    recordSchema(Configuration()) {
        val services = table("services", serviceSchema, "Declared services by name.")
        val routes = table("routes", routeSchema, "Routes by name.")
        val limits = section("limits", limitsSchema, "Limits of each proxy.")
        val quarantine =
            section("quarantine", quarantineSchema, "Quarantine of requests that repeatedly crash upstreams.")
        val dissemination =
            section(
                "dissemination",
                disseminationSchema,
                "How new configuration versions are distributed to the nodes.",
            )
        buildRecord {
            Configuration(
                services = it[services].mapKeys { (name, _) -> ServiceName(name) },
                routes = it[routes].mapKeys { (name, _) -> RouteName(name) },
                limits = it[limits],
                quarantine = it[quarantine],
                dissemination = it[dissemination],
            )
        }
    }
