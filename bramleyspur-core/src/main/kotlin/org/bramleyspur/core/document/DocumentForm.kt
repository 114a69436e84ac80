package org.bramleyspur.core.document

import com.github.michaelbull.result.Result

/** The form in which operators write documents; tools find the one on their class path with a service loader. */
interface DocumentForm {
    /** Path of the call to a control instance that returns the document in force. */
    val readPath: String

    /** Decodes a document without validating it. */
    fun decode(bytes: ByteArray): Result<Document, DocumentError>
}
