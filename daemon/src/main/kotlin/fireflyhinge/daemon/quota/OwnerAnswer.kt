package fireflyhinge.daemon.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.PeerResult

/** An owner's answer and the monotonic time in nanoseconds at which the question was sent. */
internal data class OwnerAnswer(val result: PeerResult<ChargeReply>, val sentAt: Long)
