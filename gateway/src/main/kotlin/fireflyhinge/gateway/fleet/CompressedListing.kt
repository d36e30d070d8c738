package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreReadResult
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Codec of listings that VMs send each other compressed. */
internal object CompressedListing {
    /** Bounds the memory that a message can take. */
    private const val MAX_BYTES = 16 * 1024 * 1024

    fun encode(listing: StoreReadResult.Listing): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(PeerMessages.encode(listing)) }
        return bytes.toByteArray()
    }

    /** Decodes a listing. Throws [IOException] if [bytes] hold none. */
    fun decode(bytes: ByteArray): StoreReadResult.Listing {
        val text = GZIPInputStream(bytes.inputStream()).use { it.readNBytes(MAX_BYTES + 1) }
        if (text.size > MAX_BYTES) throw IOException("a listing has over $MAX_BYTES bytes")
        return PeerMessages.listing(text)
    }
}
