package fireflyhinge.daemon.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.PeerResult

/** Result of a charge call and the monotonic time in nanoseconds at which the call was sent. */
internal data class TimedChargeResult(val result: PeerResult<ChargeReply>, val sentAt: Long)
