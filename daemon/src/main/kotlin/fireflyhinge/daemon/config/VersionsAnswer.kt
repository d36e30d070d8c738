package fireflyhinge.daemon.config

import fireflyhinge.config.ConfigDigest

/** Versions that a daemon holds by `kind/name`, 0 for unknown objects, and the digest of its whole copy. */
data class VersionsAnswer(val versions: Map<String, Long>, val digest: ConfigDigest)
