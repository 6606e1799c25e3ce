package dev.goldcrestquay.peer

import dev.goldcrestquay.contract.EnvironmentState
import dev.goldcrestquay.link.CatchUp
import dev.goldcrestquay.link.ExchangeMessage
import dev.goldcrestquay.link.KeyAnswer
import dev.goldcrestquay.link.KeyFate
import dev.goldcrestquay.link.KeyQuestion
import dev.goldcrestquay.link.LogBatch
import dev.goldcrestquay.link.LogEntry
import dev.goldcrestquay.link.WarmthNotice
import dev.goldcrestquay.machine.MemberRecord
import dev.goldcrestquay.machine.MemberStatus
import dev.goldcrestquay.move.EvidenceCount
import dev.goldcrestquay.move.EvidenceKey
import dev.goldcrestquay.move.EvidenceRow
import dev.goldcrestquay.move.MoveStop
import dev.goldcrestquay.peer.protocol.Answer
import dev.goldcrestquay.peer.protocol.Evidence
import dev.goldcrestquay.peer.protocol.Member
import dev.goldcrestquay.peer.protocol.Message
import dev.goldcrestquay.peer.protocol.MissingPart
import dev.goldcrestquay.peer.protocol.Question
import dev.goldcrestquay.peer.protocol.Record
import dev.goldcrestquay.peer.protocol.Stop
import dev.goldcrestquay.peer.protocol.Warm
import kotlinx.serialization.json.Json

/** Converts this message to its protobuf form; the serialized size of that form is what the message takes on the wire. */
fun ExchangeMessage.toProtocol(): Message =
    Message
        .newBuilder()
        .setSender(sender)
        .setOffset(offset)
        .setGeneration(generation)
        .addAllMembers(members.map { it.toProtocol() })
        .addAllEvidence(evidence.map { it.toProtocol() })
        .addAllStops(stops.map { it.toProtocol() })
        .addAllWarmth(warmth.map { it.toProtocol() })
        .build()

/** Converts this protobuf message to an exchange message. */
fun Message.toExchangeMessage(): ExchangeMessage =
    ExchangeMessage(
        sender = sender,
        offset = offset,
        generation = generation,
        members = membersList.map { it.toMemberRecord() },
        evidence = evidenceList.map { it.toEvidenceRow() },
        stops = stopsList.map { MoveStop(it.move, it.started, it.reason) },
        warmth = warmthList.map { WarmthNotice(it.service, it.target, it.startEpoch, it.warm) },
    )

internal fun CatchUp.toProtocol(): MissingPart =
    when (this) {
        CatchUp.Nothing -> MissingPart.getDefaultInstance()
        is CatchUp.State -> MissingPart.newBuilder().setState(Json.encodeToString(EnvironmentState.serializer(), state)).build()
        is CatchUp.Records -> batch.toProtocol()
    }

internal fun MissingPart.toCatchUp(): CatchUp =
    when {
        state.isNotEmpty() -> CatchUp.State(Json.decodeFromString(EnvironmentState.serializer(), state))
        next > 0 -> CatchUp.Records(LogBatch(oldest, next, recordsList.map { LogEntry(it.offset, it.text) }))
        else -> CatchUp.Nothing
    }

internal fun KeyQuestion.toProtocol(): Question =
    Question
        .newBuilder()
        .setService(service)
        .setKey(key)
        .setAsker(asker)
        .build()

internal fun Question.toKeyQuestion(): KeyQuestion = KeyQuestion(service, key, asker)

internal fun KeyAnswer.toProtocol(): Answer =
    Answer
        .newBuilder()
        .setFate(fate.ordinal)
        .setOther(other.orEmpty())
        .build()

/** Converts this answer; a fate that this version does not know counts as [KeyFate.RAN], so that the call is not run again. */
internal fun Answer.toKeyAnswer(): KeyAnswer = KeyAnswer(KeyFate.entries.getOrElse(fate) { KeyFate.RAN }, other.ifEmpty { null })

private fun LogBatch.toProtocol(): MissingPart =
    MissingPart
        .newBuilder()
        .setOldest(oldest)
        .setNext(next)
        .addAllRecords(
            entries.map {
                Record
                    .newBuilder()
                    .setOffset(it.offset)
                    .setText(it.text)
                    .build()
            },
        ).build()

private fun MemberRecord.toProtocol(): Member =
    Member
        .newBuilder()
        .setName(name)
        .setIncarnation(incarnation)
        .setSequence(sequence)
        .setStatus(status.ordinal)
        .setDataCentre(dataCentre)
        .setCallerAddress(callerAddress)
        .setPeerAddress(peerAddress)
        .build()

private fun Member.toMemberRecord(): MemberRecord =
    MemberRecord(
        name = name,
        incarnation = incarnation,
        sequence = sequence,
        status = MemberStatus.entries.getOrElse(status) { MemberStatus.SUSPECT },
        dataCentre = dataCentre,
        callerAddress = callerAddress,
        peerAddress = peerAddress,
    )

private fun EvidenceRow.toProtocol(): Evidence =
    Evidence
        .newBuilder()
        .setMove(key.move)
        .setStarted(key.started)
        .setTarget(key.target)
        .setRoute(key.route)
        .setCalls(count.calls)
        .setFailures(count.failures)
        .setTotalMilliseconds(count.totalMilliseconds)
        .setTotalSquares(count.totalSquares)
        .build()

private fun Evidence.toEvidenceRow(): EvidenceRow =
    EvidenceRow(EvidenceKey(move, started, target, route), EvidenceCount(calls, failures, totalMilliseconds, totalSquares))

private fun MoveStop.toProtocol(): Stop =
    Stop
        .newBuilder()
        .setMove(move)
        .setStarted(started)
        .setReason(reason)
        .build()

private fun WarmthNotice.toProtocol(): Warm =
    Warm
        .newBuilder()
        .setService(service)
        .setTarget(target)
        .setStartEpoch(startEpoch)
        .setWarm(warm)
        .build()
