package org.celerywalk.configuration

/**
 * One version of the configuration of the whole system.
 *
 * @property version increases by one with every committed change.
 * @property sectionVersions the configuration version at which each section last changed.
 */
public data class Configuration(
    public val version: Long,
    public val sectionVersions: Map<Team, Long>,
    public val commercial: CommercialSection,
    public val security: SecuritySection,
    public val platform: PlatformSection,
) {
    /** Returns the section that [team] owns. */
    public fun section(team: Team): Section = when (team) {
        Team.COMMERCIAL -> commercial
        Team.SECURITY -> security
        Team.PLATFORM -> platform
    }
}

/** The part of the configuration document that one team owns. */
public sealed interface Section

/** Client accounts with their rate limits and permitted models. */
public data class CommercialSection(public val clientAccounts: List<ClientAccountEntry> = emptyList()) : Section

/**
 * A client account.
 *
 * @property rateTokensPerSecond sustained rate limit in prompt and generated tokens per second, over all instances.
 * @property burstTokens capacity of the token bucket: the number of tokens that may be used at once.
 * @property models names of the models that the account may use; an empty list permits all models.
 */
public data class ClientAccountEntry(
    public val name: String,
    public val rateTokensPerSecond: Long,
    public val burstTokens: Long,
    public val models: List<String> = emptyList(),
)

/** API keys of callers and tokens of operators. */
public data class SecuritySection(
    public val keys: List<KeyEntry> = emptyList(),
    public val operators: List<OperatorEntry> = emptyList(),
) : Section

/** API key of a caller, stored as a keyed [hash] (HMAC-SHA-256, hexadecimal). */
public data class KeyEntry(
    public val id: String,
    public val clientAccount: String,
    public val hash: String,
    public val withdrawn: Boolean = false,
)

/** An operator, whose token is stored as a keyed hash (HMAC-SHA-256, hexadecimal). */
public data class OperatorEntry(public val name: String, public val team: Team, public val tokenHash: String)

/** Data centres, models, plain services and endpoints. */
public data class PlatformSection(
    public val dataCentres: List<DataCentreEntry> = emptyList(),
    public val models: List<ModelEntry> = emptyList(),
    public val services: List<ServiceEntry> = emptyList(),
    public val endpoints: List<EndpointEntry> = emptyList(),
) : Section

/** A data centre and its region. */
public data class DataCentreEntry(public val name: String, public val region: String)

/**
 * A model.
 *
 * @property weights version of the weights that all replicas of the model have to serve.
 * @property pieceTokens size of a KV cache block in prompt tokens.
 */
public data class ModelEntry(public val name: String, public val weights: String, public val pieceTokens: Int)

/**
 * A plain service: an HTTP service without a model.
 *
 * @property path prefix of the routed paths, for example `/services/bucket-swaps`.
 * @property repeatable true if calls are idempotent, so that one may run more than once; false for at most once.
 * @property open true if calls need no API key.
 */
public data class ServiceEntry(
    public val name: String,
    public val path: String,
    public val repeatable: Boolean = false,
    public val open: Boolean = false,
)

/** An endpoint with the `host:port` address of the agent that runs on the same machine. */
public data class EndpointEntry(
    public val name: String,
    public val dataCentre: String,
    public val address: String,
    public val state: EndpointState = EndpointState.ACTIVE,
    public val replicas: List<ReplicaEntry> = emptyList(),
    public val services: List<String> = emptyList(),
)

/** State of an endpoint: a draining one finishes its open requests and gets no new ones. */
public enum class EndpointState { ACTIVE, DRAINING }

/**
 * A replica of a model on an endpoint.
 *
 * @property checksFencing true if the replica's engine rejects orders with an outdated fencing token.
 */
public data class ReplicaEntry(
    public val name: String,
    public val model: String,
    public val checksFencing: Boolean = false,
)
