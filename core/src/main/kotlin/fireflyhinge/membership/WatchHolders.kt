package fireflyhinge.membership

/** Chooses the daemons that hold a watch on the store, so that the store carries a few watches and not one per VM. */
object WatchHolders {
    private const val PER_REGION = 2

    /**
     * Ids of the two daemons of [region] with the highest rendezvous hash. Views of [members] may differ for a moment;
     * then a region has a watch more or less until gossip has settled, and configuration still spreads by gossip.
     */
    fun of(members: List<Member>, region: String): Set<String> =
        members
            .filter { it.region == region && !it.isolated }
            .filter { it.state == MemberState.LIVE || it.state == MemberState.DRAINING }
            .sortedWith(compareBy({ it.state }, { weight(it.id) }))
            .take(PER_REGION)
            .map { it.id }
            .toSet()

    /** String hashes of similar ids are neighbours; the multiplication spreads them. */
    private fun weight(id: String): Int = (id.hashCode() xor (id.hashCode() ushr HALF)) * SPREAD

    private const val HALF = 16
    private const val SPREAD = -1640531527
}
