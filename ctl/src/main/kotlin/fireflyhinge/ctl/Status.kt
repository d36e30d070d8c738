package fireflyhinge.ctl

/** `status`. */
internal class Status : SessionCommand("status", "Shows the fleet as the VM that answers sees it.", "status") {
    override fun run(session: Session) =
        session.show(session.client.call("GET", "admin/v1/status")) { answer ->
            val members =
                answer.path("members").joinToString("\n") {
                    "  ${it.path("id").asText()}  ${it.path("state").asText()}" +
                        (if (it.path("isolated").asBoolean()) "  ISOLATED" else "") +
                        "  ${it.path("failureDomain").asText()}  ${it.path("openRequests").asInt()} open requests"
                }
            "answered by ${answer.path("vm").asText()}, configuration ${answer.path("digest").asText()}\n" +
                "objects ${answer.path("objects")}\n$members"
        }
}
