package fireflyhinge.ctl

import com.github.ajalt.clikt.core.main

/** Entry point of `fireflyctl`. */
fun main(args: Array<String>) = fireflyctl().main(args)
