package dev.goldcrestquay.http.edge

/**
 * Counts the bytes of responses that are held for all requests together; confined to one event loop.
 *
 * Each connection has limits of its own, but hundreds of targets that send without end reach them all at once.
 */
internal class ResponseMemory {
    /** The bytes held now. */
    var heldBytes = 0L
        private set

    /** Whether so much is held that responses are passed on as they arrive, and read no faster than their callers take them. */
    val isScarce: Boolean get() = heldBytes >= AMPLE_BYTES

    /** Counts [bytes] more, until [release]. */
    fun hold(bytes: Int) {
        heldBytes += bytes
    }

    /** Ends the count of [bytes]. */
    fun release(bytes: Int) {
        heldBytes -= bytes
    }

    private companion object {
        /** A fifth of the heap. */
        const val AMPLE_BYTES = 25_165_824L
    }
}
