package org.bramleyspur.control.state

/** The log or a snapshot could not be decoded; [message] names the remedy. */
data class DecodeError(val message: String)
