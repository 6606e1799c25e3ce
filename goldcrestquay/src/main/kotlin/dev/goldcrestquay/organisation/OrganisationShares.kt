package dev.goldcrestquay.organisation

import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.routing.Admission
import dev.goldcrestquay.routing.AdmissionView
import dev.goldcrestquay.routing.SlidingWindowCounter
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Replaces the admission control's [decision] on a request of [callerOrganisation] to [service] where organisations have to share its room. */
public typealias ShareRoom = (
    service: String,
    callerOrganisation: CallerOrganisation,
    view: AdmissionView,
    decision: Admission,
) -> Admission

/**
 * Shares the room in a full service among organisations.
 *
 * The load pattern: a few large organisations ask for two to three times what a service can run, and fill every queue before the small
 * ones come. A request for which a slot is free is never touched, so nothing changes while there is room. Otherwise, among requests of
 * the same priority and over the window,
 *
 * - an organisation is starved if it was admitted less than half as often as all; its request joins a queue although it will be late;
 * - an organisation is ample if it got more than an equal part of what was admitted, and was admitted as often as all. While requests
 *   are refused, it stops queueing before the others do, and queues not at all while another is starved.
 *
 * None is pushed below the average for another. An entry VM sees few requests of a small organisation, so that each organisation counts
 * as having had one request more, which was served like the average.
 * Confined to the entry VM's event loop.
 */
public class OrganisationShares(
    private val clock: Clock,
) {
    private class Counts(
        clock: Clock,
    ) {
        val asked = SlidingWindowCounter(WINDOW, clock)
        val admitted = SlidingWindowCounter(WINDOW, clock)

        fun standing() = Standing(asked.total(), admitted.total())
    }

    /** What one organisation asked for and got over the window. */
    private class Standing(
        val asked: Int,
        val admitted: Int,
    ) {
        fun share(average: Double): Double = (admitted + average) / (asked + 1)

        fun askingAgain() = Standing(asked + 1, admitted)
    }

    /** By service and priority, the counts of each organisation. */
    private val groups = HashMap<Pair<String, Int>, HashMap<String, Counts>>()

    /** Decides as [ShareRoom] says, and counts the request. */
    public fun share(
        service: String,
        callerOrganisation: CallerOrganisation,
        view: AdmissionView,
        decision: Admission,
    ): Admission {
        val organisation = callerOrganisation.organisationName ?: return decision
        val group = group(service to view.priority)
        val counts = group[organisation] ?: addCounts(group, organisation) ?: return decision
        val shared = if (view.excess == 0) decision else share(group.values, counts, view, decision)
        counts.asked.add()
        if (shared == Admission.Admitted) counts.admitted.add()
        return shared
    }

    private fun share(
        group: Collection<Counts>,
        counts: Counts,
        view: AdmissionView,
        decision: Admission,
    ): Admission {
        val standings = group.map { it.standing() }.filter { it.asked > 0 }
        if (standings.isEmpty()) return decision
        val admitted = standings.sumOf { it.admitted }
        val average = admitted.toDouble() / standings.sumOf { it.asked }
        val own = counts.standing()

        fun isStarved(standing: Standing) = standing.share(average) < average * STARVED_SHARE

        return when (decision) {
            is Admission.Refused ->
                if (isStarved(own.askingAgain()) && view.expected <= view.timeLeft * STARVED_TIME_SHARE) Admission.Admitted else decision
            Admission.Admitted -> {
                val isAmple = own.admitted > admitted.toDouble() / standings.size && own.share(average) >= average
                val mayWait = average >= PLENTY || view.expected <= view.objectiveLeft * AMPLE_OBJECTIVE_SHARE
                if (isAmple && (!mayWait || standings.any(::isStarved))) Admission.Refused(GIVE_WAY_RETRY_DELAY) else decision
            }
        }
    }

    private fun group(key: Pair<String, Int>): HashMap<String, Counts> {
        if (groups.size >= MAXIMUM_GROUPS && key !in groups) groups.clear()
        return groups.getOrPut(key) { HashMap() }
    }

    /** The new counts of [organisation], or null when there are too many. */
    private fun addCounts(
        group: MutableMap<String, Counts>,
        organisation: String,
    ): Counts? {
        if (group.size >= MAXIMUM_ORGANISATIONS) group.values.removeIf { it.asked.total() == 0 }
        return if (group.size < MAXIMUM_ORGANISATIONS) Counts(clock).also { group[organisation] = it } else null
    }

    private companion object {
        /** Long enough for several requests of each organisation at one of a hundred entry VMs, and as long as callers go on trying. */
        val WINDOW = 10.seconds

        /** None may be served less than a quarter as often as all; half of that often leaves a margin for what other entry VMs refuse. */
        const val STARVED_SHARE = 0.5

        /** The share of the time left that a starved organisation's request may take at a target where it will be late. */
        const val STARVED_TIME_SHARE = 0.5

        /** While at least this share of the requests is admitted, nobody has to give way. */
        const val PLENTY = 0.9

        /** An ample organisation joins a queue only if the expected time fits into this share of what remains of the objective. */
        const val AMPLE_OBJECTIVE_SHARE = 0.7

        /** The retry delay of a request that gives way: about the time of one request. */
        val GIVE_WAY_RETRY_DELAY = 500.milliseconds

        /** The organisations that are counted for one service and priority; more are not told apart from the average. */
        const val MAXIMUM_ORGANISATIONS = 1024

        /** The services and priorities that are counted; all are forgotten when there are more, which drops those of replaced plans. */
        const val MAXIMUM_GROUPS = 256
    }
}
