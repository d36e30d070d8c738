package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HostPortTest {
    /** Guards against connecting to addresses that are not unicast IPv4, and against rejecting valid ones. */
    @Test
    fun addressesOfMachinesAreUsable() {
        val usable = listOf("127.0.0.1:1", "10.1.0.3:8360", "223.255.255.255:65535", "10.0.0.0:080")
        val other =
            listOf("", ":", ":80", "10.1.0.3", "10.1.0.3:", "10.1.0.3:0", "10.1.0.3:65536", "10.1.0.3:-1") +
                listOf("10.1.0:80", "10.1.0.256:80", "0.0.0.0:80", "224.0.0.1:80", "[::1]:80", "localhost:80") +
                listOf("10.1.0.3:80 ", "10.1.0.3:80\r\n", "10.1.0.3:\u0661\u0662", "10.1.0.3:999999")
        assertEquals(usable, (usable + other).filter(HostPort::isUsable))
    }
}
