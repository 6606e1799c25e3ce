package dev.goldcrestquay.routing

import dev.goldcrestquay.contract.PlannedRoute
import dev.goldcrestquay.contract.ResultCode
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.organisation.OrganisationGate
import dev.goldcrestquay.organisation.OrganisationShares
import dev.goldcrestquay.organisation.ShareRoom
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the requests of one entry VM are forwarded with, all of them together. */
internal class ForwardingParts<Connection>(
    val tables: ForwarderTables,
    val sampler: TargetSampler<Connection>,
    val clock: Clock,
    val random: Random,
    val report: (ForwardEvent) -> Unit,
) {
    val statistics = RouteStatistics()
    val recorder = AttemptRecorder(tables, statistics, report)
    val callerAges = CallerAgeEstimator()
    val organisationGate = OrganisationGate(tables.state)
    val shareRoom: ShareRoom = OrganisationShares(clock)::share
    val secondSends = SecondSends(tables.budget, statistics, clock, report)

    /** The outcome of a request that has not run; callers that are refused together are told to return at different times. */
    fun notRun(
        code: ResultCode,
        delay: Duration = MINIMUM_RETRY_DELAY,
    ): ForwardOutcome.NotRun {
        val spreadDelay = delay.coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY) * (1.0 + random.nextDouble() * RETRY_DELAY_SPREAD)
        return ForwardOutcome.NotRun(code, spreadDelay)
    }

    private companion object {
        /** The longest retry delay before the spread is applied: callers wait at most a third of their deadline. */
        val MAXIMUM_RETRY_DELAY = 800.milliseconds

        /** The random extension of a retry delay, as a share of it, so that callers refused together do not retry together. */
        const val RETRY_DELAY_SPREAD = 1.0
    }
}

/** The time within which a request must end: its own deadline or the route's timeout, whichever is sooner. */
internal fun timeLimit(
    route: PlannedRoute?,
    deadline: Duration?,
): Duration = listOfNotNull(deadline, route?.timeout).minOrNull() ?: DEFAULT_TIMEOUT

/** The outcome of a request that may not finish before a planned stop ends. */
internal val LEAVING: ForwardOutcome.NotRun = ForwardOutcome.NotRun(ResultCode.LEAVING, PlannedStop.RETRY_DELAY)

/**
 * Records older than this may lack that a target leaves; while the leader reads them once a second, they are younger.
 *
 * It leaves half a second until the time by which targets that leave must get no more requests.
 */
internal val OLD_RECORDS_AGE: Duration = 1500.milliseconds

/** The shortest retry delay given to a refused caller: a fraction of the usual latency objectives. */
internal val MINIMUM_RETRY_DELAY: Duration = 60.milliseconds

/** The timeout of requests without a deadline on routes without a timeout. */
private val DEFAULT_TIMEOUT = 30_000.milliseconds
