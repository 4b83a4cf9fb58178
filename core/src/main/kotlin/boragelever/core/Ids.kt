package boragelever.core

import kotlinx.serialization.Serializable

/** Identifies a node. A node keeps its id when its process restarts. */
@Serializable
@JvmInline
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a region: a geographic location whose network links to other regions are slow and billed. */
@Serializable
@JvmInline
public value class RegionName(public val value: String) {
    override fun toString(): String = value
}

/** Name of an availability zone, unique only within its region. */
@Serializable
@JvmInline
public value class ZoneName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a service: a set of interchangeable upstream instances. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one upstream instance of a service. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a route in the configuration. */
@Serializable
@JvmInline
public value class RouteName(public val value: String) {
    override fun toString(): String = value
}

/** Network address in the form `host:port`, where the host is an IP address. */
@Serializable
@JvmInline
public value class NetworkAddress(public val value: String) {
    override fun toString(): String = value
}

/** Version number of an accepted configuration; increases with each publish. */
@Serializable
@JvmInline
public value class ConfigVersion(public val value: Long) : Comparable<ConfigVersion> {
    override fun compareTo(other: ConfigVersion): Int = value.compareTo(other.value)

    override fun toString(): String = "v$value"

    public companion object {
        /** Lower than every published version. */
        public val NONE: ConfigVersion = ConfigVersion(0)
    }
}

/** Fencing token of the publisher lease; increases with each acquisition. */
@Serializable
@JvmInline
public value class Epoch(public val value: Long) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    override fun toString(): String = "e$value"
}

/** Incarnation of a member. The member itself increments it at start, to refute a suspicion, and after a pause. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = "i$value"
}

/** Lower-case hexadecimal SHA-256 digest. */
@Serializable
@JvmInline
public value class Digest(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a request by its idempotency key, or by caller, host, method, path and body digest. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}

/** Value of the `Idempotency-Key` header of a call. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Name of a file in the configuration folder. Files are merged in the order of their names. */
@Serializable
@JvmInline
public value class FileName(public val value: String) : Comparable<FileName> {
    override fun compareTo(other: FileName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
