package dev.goldcrestquay.machine

/**
 * The position of a record in a feed of the store.
 *
 * A store that is restored from an older copy loses its latest records and gives their offsets out again, so offsets order the
 * records of one [epoch] only.
 *
 * @property epoch rises by one each time the store is restored.
 */
public data class LogPosition(
    val epoch: Long,
    val offset: Long,
) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = compareValuesBy(this, other, LogPosition::epoch, LogPosition::offset)
}
