package fireflyhinge.engine

/** State of an order that an engine accepted. */
enum class OrderState { RUNNING, DONE, FAILED }
