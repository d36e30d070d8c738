package fireflyhinge.daemon

import com.github.ajalt.clikt.core.main

/** Entry point of the `fireflyhinge` binary. */
fun main(args: Array<String>) = DaemonCommand().main(args)
