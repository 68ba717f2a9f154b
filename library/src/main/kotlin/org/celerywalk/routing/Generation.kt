package org.celerywalk.routing

import org.celerywalk.cache.CacheGroup
import org.celerywalk.cache.CacheScope
import org.celerywalk.cache.PromptPart
import org.celerywalk.endpoint.RegisteredEndpoint
import kotlin.time.Duration

/**
 * Describes a generation that needs a model replica.
 *
 * @property parts parts of the prompt in order; the last one is private to the request.
 * @property outputTokens expected number of tokens of the answer.
 * @property cacheGroup client accounts that the generation may share KV cache with.
 * @property firstTokenTimeLeft time left to reach the target for the time to first token.
 * @property rank urgency among the generations of a replica; see [Rank].
 * @property isResumed true if the caller has received part of the answer and waits for its continuation.
 */
public data class Generation(
    val model: String,
    val parts: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val cacheGroup: CacheGroup,
    val firstTokenTimeLeft: Duration = Duration.INFINITE,
    val rank: Int = Rank.MOST_URGENT,
    val isResumed: Boolean = false,
) {
    /** Parts that other requests may have in common with this one. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}

/**
 * Assigns a generation to a model replica.
 *
 * @property scope cache scope of the prompt at the replica's weights.
 * @property version weights version that the replica is expected to run.
 * @property cachedTokens prompt tokens that the replica is expected to have in its prefix cache.
 * @property fetchAddress address of a replica or cache store that holds a longer prefix of the prompt, or null.
 * @property fetchTokens prompt tokens to fetch from there, 0 if none.
 * @property expectedFirstTokenMillis expected time to first token.
 * @property unscaledFirstTokenMillis the expected time without the replica's pace, see [FirstTokenPace].
 * @property isDeferred true if the generation would miss its target anyway and yields to generations that would not.
 * @property work load that the generation adds to the replica.
 */
public data class Placement(
    val endpoint: RegisteredEndpoint,
    val scope: CacheScope,
    val version: Int,
    val cachedTokens: Int,
    val fetchAddress: String?,
    val fetchTokens: Int,
    val expectedFirstTokenMillis: Double,
    val work: EndpointWork,
    val unscaledFirstTokenMillis: Double = expectedFirstTokenMillis,
    val isDeferred: Boolean = false,
)
