package org.bramleyspur.testbed.engine

import kotlinx.serialization.Serializable

/** The OpenAI error object, with all fields required. */
@Serializable
internal data class StrictErrorBody(val error: Detail) {
    @Serializable
    internal data class Detail(val message: String, val type: String, val param: String?, val code: String?)
}
