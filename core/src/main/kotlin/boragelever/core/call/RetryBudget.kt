package boragelever.core.call

import kotlin.math.min

/** Tokens are counted in hundredths, so that a percentage per call is an integer. */
private const val TOKEN = 100

/** Token bucket that limits retries to a share of calls: a call adds a fraction of a token, a retry takes a token. */
public data class RetryBudget(public val tokenHundredths: Int)

/** Returns the initial budget of a service: [slack] retries, so that services with few calls can retry. */
public fun retryBudget(slack: Int): RetryBudget = RetryBudget(slack * TOKEN)

/** Adds [budgetPercent] hundredths of a token for one call; the budget is capped at [slack] tokens, at least 1. */
public fun RetryBudget.deposit(budgetPercent: Int, slack: Int): RetryBudget =
    RetryBudget(min(maxOf(1, slack) * TOKEN, tokenHundredths + budgetPercent))

/** Takes a token for one retry, or returns `null` if none is available. */
public fun RetryBudget.withdraw(): RetryBudget? =
    if (tokenHundredths >= TOKEN) RetryBudget(tokenHundredths - TOKEN) else null
