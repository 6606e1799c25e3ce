package dev.goldcrestquay.usage

/**
 * What decides about the duty beside the store.
 *
 * @property name this entry VM's name.
 * @property process this entry VM's process, as `name/incarnation`.
 * @property isWanted whether this entry VM should hold the duty; several may think so at once.
 * @property oldestStart when the oldest of the processes that are alive was started, in milliseconds since the Unix epoch.
 */
internal class UsageRole(
    val name: String,
    val process: String,
    val isWanted: () -> Boolean,
    val oldestStart: () -> Long,
)
