package fireflyhinge.membership

/** Selects the daemons that watch the store, so that the store serves a few watches instead of one per VM. */
object WatchHolders {
    private const val PER_REGION = 2

    /**
     * Ids of the two daemons of [region] that are selected by rendezvous hashing. Views of [members] may differ for a
     * moment. A region then has more or fewer watches until gossip has converged, and configuration still spreads by
     * gossip.
     */
    fun of(members: List<Member>, region: String): Set<String> =
        members
            .filter { it.region == region && !it.isolated }
            .filter { it.state == MemberState.LIVE || it.state == MemberState.DRAINING }
            .sortedWith(compareBy({ it.state }, { weight(it.id) }))
            .take(PER_REGION)
            .map { it.id }
            .toSet()

    /** The string hashes of similar ids are close to each other; the multiplication spreads them. */
    private fun weight(id: String): Int = (id.hashCode() xor (id.hashCode() ushr HALF)) * SPREAD

    private const val HALF = 16
    private const val SPREAD = -1640531527
}
