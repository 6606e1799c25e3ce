package dev.goldcrestquay.link

import com.github.michaelbull.result.Result
import dev.goldcrestquay.contract.Target
import kotlin.time.Duration

/** Asks a target for its load. */
public typealias ProbeLink = suspend (Target) -> Result<LoadReport, LinkFailure>

/**
 * Everything outside an entry VM that its decisions depend on.
 *
 * @property log the environment's stream.
 * @property snapshots the stream of the environment's snapshots.
 * @property networkRoundTrip the expected round trip from this entry VM to a target.
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
