package fireflyhinge.systemtest

import java.io.DataInputStream
import java.io.IOException
import java.net.Socket

/** The server's part of SOCKS 5 (RFC 1928) without authentication, as far as a JVM's client uses it. */
internal object SocksHandshake {
    private const val VERSION = 5
    private const val DOMAIN_NAME = 3
    private const val IPV4 = 1
    private const val IPV4_BYTES = 4
    private const val REPLY_BYTES = 10
    private const val REQUEST_BYTES = 3

    /** Port to which [caller] asks to be connected. */
    fun portAskedFor(caller: Socket): Int {
        val input = DataInputStream(caller.getInputStream())
        if (input.read() != VERSION) throw IOException("not SOCKS 5")
        input.readNBytes(input.read())
        caller.getOutputStream().write(byteArrayOf(VERSION.toByte(), 0))
        input.readNBytes(REQUEST_BYTES)
        when (val type = input.read()) {
            IPV4 -> input.readNBytes(IPV4_BYTES)
            DOMAIN_NAME -> input.readNBytes(input.read())
            else -> throw IOException("address type $type is not supported")
        }
        return input.readUnsignedShort()
    }

    /** Tells [caller] that its connection is open. */
    fun accept(caller: Socket) {
        val reply = ByteArray(REPLY_BYTES)
        reply[0] = VERSION.toByte()
        reply[REQUEST_BYTES] = IPV4.toByte()
        caller.getOutputStream().write(reply)
    }
}
