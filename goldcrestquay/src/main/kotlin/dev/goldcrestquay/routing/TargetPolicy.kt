package dev.goldcrestquay.routing

import kotlin.random.Random

/**
 * A target that may take a call.
 *
 * @property wait the expected wait for a slot, in milliseconds.
 * @property serviceTime the expected service time, in milliseconds.
 * @property network the network round trip to the target, in milliseconds.
 * @property utilisation the estimated calls in flight at the target, from all entry VMs, divided by its slots.
 */
public class Candidate(
    public val state: TargetState,
    public val wait: Double,
    public val serviceTime: Double,
    public val network: Double,
    public val utilisation: Double,
)

/** Chooses among candidates; returns an index into the list of candidates, which is never empty. */
public typealias TargetPolicy = (List<Candidate>, Random) -> Int

/** The target selection policies; all but [earliestAnswer] exist to be compared with it in benchmarks. */
public object TargetPolicies {
    /** A random target, uniformly distributed. */
    public val random: TargetPolicy = { candidates, random -> random.nextInt(candidates.size) }

    /** Each target in turn. */
    public fun roundRobin(): TargetPolicy {
        var next = 0
        return { candidates, _ -> next++.mod(candidates.size) }
    }

    /** The target with the fewest own calls in flight. */
    public val leastInFlight: TargetPolicy = { candidates, random -> candidates.minIndex(random) { it.state.inFlight.toDouble() } }

    /** Of two random targets, the one with fewer own calls in flight. */
    public val twoChoices: TargetPolicy = { candidates, random ->
        val first = random.nextInt(candidates.size)
        val second = random.nextInt(candidates.size)
        if (candidates[first].state.inFlight <= candidates[second].state.inFlight) first else second
    }

    /** The target with the earliest expected answer, with a preference for less utilised targets; the policy in production use. */
    public fun earliestAnswer(settings: RoutingSettings = RoutingSettings()): TargetPolicy =
        { candidates, random ->
            candidates.minIndex(random) { candidate ->
                candidate.wait + candidate.serviceTime +
                    candidate.network * settings.networkWeight +
                    candidate.serviceTime * settings.utilisationWeight * candidate.utilisation.coerceAtMost(1.0)
            }
        }
}

private inline fun List<Candidate>.minIndex(
    random: Random,
    score: (Candidate) -> Double,
): Int {
    var best = 0
    var bestScore = Double.POSITIVE_INFINITY
    var ties = 0
    for (index in indices) {
        val value = score(this[index])
        if (value < bestScore) {
            best = index
            bestScore = value
            ties = 1
        } else if (value == bestScore) {
            ties++
            if (random.nextInt(ties) == 0) best = index
        }
    }
    return best
}
