package boragelever.core.call

import kotlin.math.min

/** Tokens are counted in hundredths, so that a percentage per call is a whole number. */
private const val TOKEN = 100

/** Retries as a share of recent calls: each call adds a part of a token, each retry takes a whole one. */
public data class RetryBudget(public val tokenHundredths: Int)

/** Budget of a service that was not called of late: [slack] retries, so that services with few calls can retry. */
public fun retryBudget(slack: Int): RetryBudget = RetryBudget(slack * TOKEN)

/** Adds the share of one call; at most [slack] retries are kept for later. */
public fun RetryBudget.deposit(budgetPercent: Int, slack: Int): RetryBudget =
    RetryBudget(min(maxOf(1, slack) * TOKEN, tokenHundredths + budgetPercent))

/** Takes the token of one retry, or returns `null` if there is none. */
public fun RetryBudget.withdraw(): RetryBudget? = if (tokenHundredths >= TOKEN) RetryBudget(tokenHundredths - TOKEN) else null
