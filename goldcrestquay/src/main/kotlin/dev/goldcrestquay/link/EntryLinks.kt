package dev.goldcrestquay.link

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.Target
import kotlin.time.Duration

/** Sends a probe to a target, which asks for its load. */
public typealias ProbeLink = suspend (Target) -> Result<LoadReport, LinkFailure>

/**
 * The clocks and outside systems that an entry VM depends on.
 *
 * @property log the stream of the environment's records.
 * @property snapshots the stream of the environment's snapshots.
 * @property vmList reads the platform's VM list.
 * @property peers the connections to other entry VMs.
 * @property probe asks a target for its load.
 * @property networkRoundTrip the expected round-trip time from this entry VM to a target.
 */
public class EntryLinks(
    public val clock: Clock,
    public val wallClock: WallClock,
    public val log: LogLink,
    public val snapshots: LogLink,
    public val vmList: VmListLink,
    public val peers: PeerLink,
    public val probe: ProbeLink,
    public val networkRoundTrip: (Target) -> Duration = { Duration.ZERO },
)
