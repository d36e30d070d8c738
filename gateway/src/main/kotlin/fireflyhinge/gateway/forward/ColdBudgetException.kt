package fireflyhinge.gateway.forward

import java.io.IOException

/** A request was not sent, because its replica is cold and this VM may not send to it now. */
internal class ColdBudgetException(replica: String) : IOException("replica $replica is cold and there is no budget")
