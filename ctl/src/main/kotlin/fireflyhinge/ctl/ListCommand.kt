package fireflyhinge.ctl

/** Lists the objects of [kind] with their versions. */
internal class ListCommand(private val kind: String) :
    SessionCommand("list", "Lists all objects with their versions.", "${kind.dropLast(1)} list") {
    override fun run(session: Session) =
        session.show(session.client.call("GET", "admin/v1/$kind")) { answer ->
            answer.joinToString("\n") {
                "${it.path("name").asText()}  version ${it.path("version").asLong()}  ${it.path("value")}"
            }
        }
}
