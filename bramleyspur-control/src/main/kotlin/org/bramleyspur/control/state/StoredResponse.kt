package org.bramleyspur.control.state

import com.google.protobuf.ByteString
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Maximum size of a response body in an idempotency record; limits the size of log entries and snapshots. */
const val MAX_STORED_BODY_BYTES = 64 * 1024

/**
 * Response of a backend server to a claimed call.
 *
 * @property body null if the body was larger than [MAX_STORED_BODY_BYTES]
 * @property bodyBytes length of the complete body
 * @property bodyDigest SHA-256 digest of a body that is not stored; empty if it is stored or not known
 */
data class StoredResponse(
    val status: Int,
    val contentType: String,
    val body: ByteString?,
    val bodyBytes: Long,
    val bodyDigest: ByteString = ByteString.EMPTY,
) {
    /** This response without its body if the body is larger than [MAX_STORED_BODY_BYTES]. */
    fun withoutOversizedBody(): StoredResponse = when {
        body == null || body.size() <= MAX_STORED_BODY_BYTES -> this
        else -> copy(body = null, bodyDigest = sha256(body.asReadOnlyByteBufferList()))
    }

    companion object {
        /** A response with [body], which is omitted if it is larger than [MAX_STORED_BODY_BYTES]. */
        fun of(status: Int, contentType: String, body: ByteString): StoredResponse =
            StoredResponse(status, contentType, body, body.size().toLong()).withoutOversizedBody()
    }
}

/** SHA-256 digest of the concatenated [parts]. */
internal fun sha256(parts: Iterable<ByteBuffer>): ByteString {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach { digest.update(it) }
    return ByteString.copyFrom(digest.digest())
}
