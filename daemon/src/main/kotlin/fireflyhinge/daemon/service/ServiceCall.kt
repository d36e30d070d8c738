package fireflyhinge.daemon.service

import fireflyhinge.auth.Access
import fireflyhinge.config.Route

/**
 * A checked call of a plain service.
 *
 * @property digest hash of method, target, content type and body.
 */
class ServiceCall(
    val requestId: String,
    val access: Access,
    val route: Route,
    val request: ServiceRequest,
    val idempotencyKey: String?,
    val digest: String,
)
