package fireflyhinge.soak

/** Entries of another writer among the replicas; none of them names a replica. */
internal enum class OddEntry(val text: String) {
    DEEP("""{"backend":"shop","addr":${"[".repeat(DEPTH)}${"]".repeat(DEPTH)},"state":"ready"}"""),
    LONG_NUMBER("""{"backend":"shop","addr":"127.0.0.1:9","slots":${"9".repeat(DIGITS)},"state":"ready"}"""),
    PORT("""{"backend":"shop","addr":"127.0.0.1:99999","zone":"north","slots":8,"state":"ready"}"""),
    TYPES("""{"backend":["shop"],"addr":7,"zone":{},"slots":"many","state":null}"""),
    TEXT(""""no replica""""),
    NO_JSON("""{"backend":shop,addr:'127.0.0.1:9'}"""),
}

private const val DEPTH = 20_000
private const val DIGITS = 5_000
