package dev.goldcrestquay.peer

import dev.goldcrestquay.machine.EntryVm
import dev.goldcrestquay.peer.protocol.Answer
import dev.goldcrestquay.peer.protocol.Message
import dev.goldcrestquay.peer.protocol.MissingPart
import dev.goldcrestquay.peer.protocol.PeerGrpcKt
import dev.goldcrestquay.peer.protocol.Position
import dev.goldcrestquay.peer.protocol.Question
import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Serves requests of other entry VMs over gRPC. */
class PeerServer(
    host: String,
    port: Int,
    private val entryVm: () -> EntryVm,
) {
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .addService(Handler())
            .build()

    /** Starts listening and returns the port. */
    fun start(): Int = server.start().port

    /** Stops listening, waits up to [STOP_TIMEOUT_SECONDS] for requests in progress and cancels those that remain. */
    fun stop() {
        server.shutdown()
        if (!server.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) server.shutdownNow()
    }

    private inner class Handler : PeerGrpcKt.PeerCoroutineImplBase() {
        override suspend fun exchange(request: Message): Message =
            entryVm()
                .control
                .answerExchange(request.toExchangeMessage())
                .toProtocol()

        override suspend fun fetchAfter(request: Position): MissingPart =
            entryVm()
                .control
                .catchUp(request.offset)
                .toProtocol()

        override suspend fun askAboutKey(request: Question): Answer = entryVm().answer(request.toKeyQuestion()).toProtocol()
    }

    private companion object {
        const val STOP_TIMEOUT_SECONDS = 2L
    }
}
