package org.bramleyspur.traffic.load

/** A request as the choice of a backend server weighs it, in tokens. */
class RequestSize(val promptTokens: Long, val outputTokens: Long)
