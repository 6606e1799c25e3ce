package dev.goldcrestquay.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.goldcrestquay.link.LinkFailure
import dev.goldcrestquay.link.PeerLink
import dev.goldcrestquay.peer.protocol.PeerGrpcKt
import dev.goldcrestquay.peer.protocol.Position
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** The gRPC channels to other entry VMs, cached by peer address; a channel closes its connection when idle. */
class PeerClients : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Sends the requests of an entry VM to its peers, over these channels. */
    val link: PeerLink =
        PeerLink(
            exchange = { address, message -> call(address) { it.exchange(message.toProtocol()).toExchangeMessage() } },
            catchUp = { address, offset -> call(address) { it.fetchAfter(Position.newBuilder().setOffset(offset).build()).toCatchUp() } },
            ask = { address, question -> call(address) { it.askAboutKey(question.toProtocol()).toKeyAnswer() } },
        )

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
    }

    private suspend fun <T> call(
        address: String,
        request: suspend (PeerGrpcKt.PeerCoroutineStub) -> T,
    ): Result<T, LinkFailure> =
        try {
            Ok(request(PeerGrpcKt.PeerCoroutineStub(channel(address))))
        } catch (exception: StatusException) {
            Err(if (exception.status.code == Status.Code.UNAVAILABLE) LinkFailure.UNREACHABLE else LinkFailure.REPLY_LOST)
        } catch (_: IllegalArgumentException) {
            // The reply holds a value that cannot be converted, such as malformed JSON.
            Err(LinkFailure.REPLY_LOST)
        }

    private fun channel(address: String): ManagedChannel =
        channels.computeIfAbsent(address) {
            NettyChannelBuilder
                .forAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
                .usePlaintext()
                .idleTimeout(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .build()
        }

    private companion object {
        const val IDLE_TIMEOUT_SECONDS = 60L
    }
}
