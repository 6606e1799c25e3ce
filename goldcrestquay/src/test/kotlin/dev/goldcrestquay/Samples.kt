package dev.goldcrestquay

import dev.goldcrestquay.contract.Environment
import dev.goldcrestquay.contract.EvidenceRule
import dev.goldcrestquay.contract.Service
import dev.goldcrestquay.contract.environment
import dev.goldcrestquay.link.Clock
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import kotlin.time.Duration

/** A clock that tests set by hand. */
class ManualClock(
    var now: Duration = Duration.ZERO,
) : Clock {
    override fun invoke(): Duration = now
}

/** A service in two data centres with two targets of each version, and a move from version 1 to 2. */
val ENVIRONMENT_WITH_MOVE: Environment =
    environment("test") {
        region("north") {
            dataCentre("a")
            dataCentre("b")
        }
        service("desk") {
            target("old-1", "10.0.0.1:80", "a")
            target("old-2", "10.0.0.2:80", "b")
            target("new-1", "10.0.0.3:80", "a", version = "2")
            target("new-2", "10.0.0.4:80", "b", version = "2")
            route("/bookings", method = "POST", idempotent = false)
        }
        move("desk-to-2", "desk", "1" to "2", "2030-01-01T00:00:00Z", EvidenceRule(), 10.0 to 1000L, 100.0 to 1000L)
    }

/** The only service of [ENVIRONMENT_WITH_MOVE]. */
val DESK_SERVICE: Service = ENVIRONMENT_WITH_MOVE.services.single()

/** A member whose caller and peer addresses are made from its [name]. */
fun member(
    name: String,
    dataCentre: String = "a",
    status: MemberStatus = MemberStatus.ALIVE,
    incarnation: Long = 1,
    sequence: Int = 0,
): MemberRecord = MemberRecord(name, incarnation, sequence, status, dataCentre, "caller-$name", "peer-$name")
