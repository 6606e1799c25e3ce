package dev.goldcrestquay.http.edge

import dev.goldcrestquay.usage.UsageEvent
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put

/** Adds the fields of [event] to its log line. */
internal fun JsonObjectBuilder.putDetails(event: UsageEvent) {
    when (event) {
        is UsageEvent.Claimed -> {
            put("token", event.token)
            put("may_act_in_ms", event.mayActIn.inWholeMilliseconds)
        }
        is UsageEvent.HolderLost -> {
            put("token", event.token)
            put("reason", event.reason)
        }
        is UsageEvent.WindowWritten -> {
            put("window", event.window)
            put("token", event.token)
            put("requests", event.requests)
            put("organisations", event.organisations)
            put("processes", event.processes)
        }
        is UsageEvent.WindowSent -> {
            put("window", event.window)
            put("token", event.token)
            put("after_ms", event.after.inWholeMilliseconds)
            put("late", event.isLate)
        }
        is UsageEvent.WindowsLost -> {
            put("from_window", event.from)
            put("through_window", event.through)
            put("reason", event.reason)
        }
        is UsageEvent.CallFailed -> {
            put("window", event.window)
            put("token", event.token)
            put("reason", event.reason)
        }
        is UsageEvent.DutyStepFailed -> put("reason", event.reason)
        is UsageEvent.RecordUnreadable -> {
            put("key", event.key)
            put("offset", event.offset)
            put("reason", event.reason)
        }
        is UsageEvent.ClockJumped -> put("jump_ms", event.jump.inWholeMilliseconds)
    }
}
