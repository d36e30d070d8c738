package fireflyhinge.systemtest

import org.junit.jupiter.api.extension.AfterAllCallback
import org.junit.jupiter.api.extension.BeforeAllCallback
import org.junit.jupiter.api.extension.ExtensionContext

/** Runs a fleet for all cases of a test class with one instance per class. */
internal class FleetExtension(spec: FleetSpec) : BeforeAllCallback, AfterAllCallback {
    /** The fleet; its daemons run while the cases do. */
    val fleet = Fleet(spec, TestFleets.logs)

    override fun beforeAll(context: ExtensionContext) {
        fleet.start()
    }

    override fun afterAll(context: ExtensionContext) = fleet.close()
}
