package fireflyhinge.daemon.membership

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.config.Fence
import fireflyhinge.membership.ConfigSyncListener
import fireflyhinge.membership.MemberState
import fireflyhinge.store.StoredObject
import org.slf4j.LoggerFactory

/** Entry points through which other parts of the daemon tell the membership what they have observed. */
class MembershipReports internal constructor(private val state: MembershipState) : ConfigSyncListener {
    private val log = LoggerFactory.getLogger(javaClass)

    /** This VM begins or, if [draining] is false, ends draining. Peers learn it within a few rounds. */
    fun setDraining(draining: Boolean) =
        state.updateSelf { it.copy(state = if (draining) MemberState.DRAINING else MemberState.LIVE) }

    /** Whether the VM list marks this VM as leaving, so that it must drain. */
    fun listedLeaving(): Boolean = state.read { table, _ -> table.selfLeaving() }

    /** A message to [vm] failed; [refused] if its host refused the connection. */
    fun onFailed(vm: String, refused: Boolean) = state.update { updates, now -> updates.onFailed(vm, refused, now) }

    /** [vm] answered a message. */
    fun onAnswered(vm: String) = state.update { updates, now -> updates.onHeard(vm, now) }

    override fun begin(): Long = state.isolation { _, now -> now }

    override fun onStoreRead(startedAt: Long) =
        state.isolation { rule, now ->
            rule.onStoreReached(now)
            rule.onStoreRead(startedAt)
        }

    override fun onCompared(peer: String, current: Boolean, startedAt: Long) =
        state.isolation { rule, now -> rule.onCompared(peer, current, startedAt, now) }

    /** An object `fences/<vm>` arrived. A fence that cannot be read is left out, since it proves nothing. */
    fun onFence(stored: StoredObject) {
        val fence =
            try {
                Json.decode<Fence>(stored.value)
            } catch (e: JsonProcessingException) {
                log.warn("{} version {} is not a fence: {}", stored.name, stored.version, e.originalMessage)
                return
            }
        if (fence.name != stored.name.name) {
            log.warn("{} version {} names the VM {}", stored.name, stored.version, fence.name)
            return
        }
        if (!fence.deleted) state.update { updates, now -> updates.onFence(fence.name, fence.incarnation, now) }
    }
}
