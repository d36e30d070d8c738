package fireflyhinge.ctl

/** A call that failed; [exit] tells scripts why. */
class CtlFailure(val exit: ExitCode, message: String) : RuntimeException(message)
