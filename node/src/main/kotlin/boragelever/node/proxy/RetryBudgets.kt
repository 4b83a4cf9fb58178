package boragelever.node.proxy

import boragelever.core.RouteName
import boragelever.core.call.RetryBudget
import boragelever.core.call.deposit
import boragelever.core.call.withdraw
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Retry budget of each route on this node. */
internal class RetryBudgets {
    private val budgets = ConcurrentHashMap<RouteName, AtomicReference<RetryBudget>>()

    /** Adds the share of one call. */
    fun deposit(route: RouteName, budgetPercent: Int) {
        budget(route).updateAndGet { it.deposit(budgetPercent) }
    }

    /** Takes the token of one retry; false if there is none. */
    fun withdraw(route: RouteName): Boolean {
        val budget = budget(route)
        while (true) {
            val current = budget.get()
            val next = current.withdraw() ?: return false
            if (budget.compareAndSet(current, next)) return true
        }
    }

    private fun budget(route: RouteName) = budgets.computeIfAbsent(route) { AtomicReference(RetryBudget()) }
}
