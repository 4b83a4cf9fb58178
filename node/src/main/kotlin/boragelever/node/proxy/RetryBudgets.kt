package boragelever.node.proxy

import boragelever.core.ServiceName
import boragelever.core.call.RetryBudget
import boragelever.core.call.deposit
import boragelever.core.call.retryBudget
import boragelever.core.call.withdraw
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Retry budgets of this node, one for each service. */
internal class RetryBudgets {
    private val budgets = ConcurrentHashMap<ServiceName, AtomicReference<RetryBudget>>()

    /**
     * Adds the share of one call to the budget of [service].
     *
     * @param budgetPercent retries per hundred calls.
     * @param slack number of retries that may be saved up.
     */
    fun deposit(service: ServiceName, budgetPercent: Int, slack: Int) {
        budget(service, slack).updateAndGet { it.deposit(budgetPercent, slack) }
    }

    /** Takes the token of one retry; returns false if the budget is spent. */
    fun withdraw(service: ServiceName): Boolean {
        val budget = budgets[service] ?: return false
        while (true) {
            val current = budget.get()
            val next = current.withdraw() ?: return false
            if (budget.compareAndSet(current, next)) return true
        }
    }

    private fun budget(service: ServiceName, slack: Int) =
        budgets.computeIfAbsent(service) { AtomicReference(retryBudget(slack)) }
}
