package fireflyhinge.forward

/** Returns the regions that all of [lists] allow, of which an empty one allows all regions; null if all are allowed. */
internal fun homeRegions(lists: List<Set<String>>): Set<String>? =
    lists.filter { it.isNotEmpty() }.reduceOrNull { common, regions -> common intersect regions }
