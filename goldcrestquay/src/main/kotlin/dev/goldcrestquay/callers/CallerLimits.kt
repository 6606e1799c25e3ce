package dev.goldcrestquay.callers

/**
 * What one process may use of its machine, as its operators state it; null where they state nothing.
 *
 * @property memoryBytes the memory of the process.
 * @property descriptors the open files and sockets of the process.
 */
public data class MachineLimits(
    val memoryBytes: Long? = null,
    val descriptors: Int? = null,
)

/**
 * How much all callers together may hold of an entry VM.
 *
 * @property headBytes the heap for heads of requests.
 * @property bodyBytes the memory for bodies of requests, outside the heap.
 * @property connections the open connections of callers.
 */
public data class CallerLimits(
    val headBytes: Long,
    val bodyBytes: Long,
    val connections: Int,
) {
    public companion object {
        /** The limits of a process with a heap of [heapBytes], which is also the bound of its memory outside the heap. */
        public fun of(
            heapBytes: Long,
            machine: MachineLimits,
        ): CallerLimits {
            val besideHeap = machine.memoryBytes?.let { (it - heapBytes - RUNTIME_BYTES).coerceAtLeast(MINIMUM_BODY_BYTES) }
            return CallerLimits(
                headBytes = heapBytes / HEAD_DIVISOR,
                bodyBytes = minOf(heapBytes / BODY_DIVISOR * BODY_FACTOR, besideHeap ?: Long.MAX_VALUE),
                connections =
                    machine.descriptors?.let { ((it - FILE_DESCRIPTORS) * CONNECTION_SHARE).toInt().coerceAtLeast(1) } ?: Int.MAX_VALUE,
            )
        }

        private const val HEAD_DIVISOR = 4

        /** Two thirds; the rest of the memory outside the heap is for bytes on their way from and to sockets. */
        private const val BODY_DIVISOR = 3
        private const val BODY_FACTOR = 2

        /** What the process needs beside its heap and the bodies: code, classes, threads and socket buffers. */
        private const val RUNTIME_BYTES = 125_000_000L
        private const val MINIMUM_BODY_BYTES = 8_388_608L

        /** The platform keeps these descriptors for files. */
        private const val FILE_DESCRIPTORS = 200

        /** The rest is for connections to targets, peers and the store. */
        private const val CONNECTION_SHARE = 0.75
    }
}
