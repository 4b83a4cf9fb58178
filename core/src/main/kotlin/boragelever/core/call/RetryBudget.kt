package boragelever.core.call

import kotlin.math.min

/** Tokens are counted in hundredths, so that a percentage per call is a whole number. */
private const val TOKEN = 100

/** Retries that are allowed after a quiet time, so that services with few calls can retry at all. */
private const val MIN_RETRIES = 10

/** Retries as a share of recent calls: each call adds a part of a token, each retry takes a whole one. */
public data class RetryBudget(public val hundredths: Int = MIN_RETRIES * TOKEN)

/** Adds the share of one call. */
public fun RetryBudget.deposit(budgetPercent: Int): RetryBudget {
    val ceiling = maxOf(MIN_RETRIES, budgetPercent) * TOKEN
    return RetryBudget(min(ceiling, hundredths + budgetPercent))
}

/** Takes the token of one retry, or returns `null` if there is none. */
public fun RetryBudget.withdraw(): RetryBudget? = if (hundredths >= TOKEN) RetryBudget(hundredths - TOKEN) else null
