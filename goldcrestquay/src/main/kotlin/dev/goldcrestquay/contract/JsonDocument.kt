package dev.goldcrestquay.contract

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * One problem found in a JSON document.
 *
 * @property path the JSON path of the value, such as `$.services[0].name`.
 * @property detail what is wrong with the value there.
 */
public data class Problem(
    val code: ResultCode,
    val path: String,
    val detail: String,
) {
    override fun toString(): String = "${code.number} $path: $detail"
}

/** Parses and validates JSON documents, and reports every problem at once. */
public object JsonDocument {
    /** The JSON format of all documents: indented, without properties that have their default value. */
    public val json: Json =
        Json {
            prettyPrint = true
            encodeDefaults = false
        }

    /**
     * Parses [text] as a [T].
     *
     * The error lists every mismatch with the schema of [T] or, when there is none, every problem that [check] finds.
     */
    public fun <T> read(
        text: String,
        serializer: KSerializer<T>,
        check: (T) -> List<Problem> = { emptyList() },
    ): Result<T, List<Problem>> {
        val element =
            try {
                json.parseToJsonElement(text)
            } catch (exception: SerializationException) {
                return Err(
                    listOf(
                        Problem(
                            ResultCode.MALFORMED_JSON,
                            "$",
                            exception.message
                                .orEmpty()
                                .lineSequence()
                                .first(),
                        ),
                    ),
                )
            }
        val schemaProblems = SchemaCheck().apply { visit(element, serializer.descriptor, "$") }.problems
        if (schemaProblems.isNotEmpty()) return Err(schemaProblems)
        val value =
            try {
                json.decodeFromJsonElement(serializer, element)
            } catch (exception: IllegalArgumentException) {
                return Err(
                    listOf(
                        Problem(
                            ResultCode.WRONG_TYPE,
                            "$",
                            exception.message
                                .orEmpty()
                                .lineSequence()
                                .first(),
                        ),
                    ),
                )
            }
        val problems = check(value)
        return if (problems.isEmpty()) Ok(value) else Err(problems)
    }

    /** Writes [value] as indented JSON. */
    public fun <T> write(
        value: T,
        serializer: KSerializer<T>,
    ): String = json.encodeToString(serializer, value)
}

/** Compares a JSON tree with a serial descriptor before decoding, since the decoder stops at the first mismatch. */
@OptIn(ExperimentalSerializationApi::class)
private class SchemaCheck {
    val problems = mutableListOf<Problem>()

    fun visit(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element is JsonNull && descriptor.isNullable) return
        when (val kind = descriptor.kind) {
            StructureKind.CLASS, StructureKind.OBJECT -> visitObject(element, descriptor, path)
            StructureKind.LIST -> visitList(element, descriptor, path)
            StructureKind.MAP -> visitMap(element, descriptor, path)
            is PrimitiveKind, SerialKind.ENUM -> visitPrimitive(element, descriptor, kind, path)
            else -> Unit
        }
    }

    private fun visitObject(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonObject) return addWrongType(path, "an object")
        val names = (0 until descriptor.elementsCount).associateBy { descriptor.getElementName(it) }
        for ((key, child) in element) {
            val index = names[key]
            if (index == null) {
                problems += Problem(ResultCode.UNKNOWN_KEY, "$path.$key", "the known keys are ${names.keys.joinToString()}")
            } else {
                visit(child, descriptor.getElementDescriptor(index), "$path.$key")
            }
        }
        names
            .filter { (name, index) -> name !in element && !descriptor.isElementOptional(index) }
            .forEach { (name, _) -> problems += Problem(ResultCode.MISSING_KEY, "$path.$name", "the key is required") }
    }

    private fun visitList(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonArray) return addWrongType(path, "a list")
        element.forEachIndexed { index, child -> visit(child, descriptor.getElementDescriptor(0), "$path[$index]") }
    }

    private fun visitMap(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonObject) return addWrongType(path, "an object")
        element.forEach { (key, child) -> visit(child, descriptor.getElementDescriptor(1), "$path.$key") }
    }

    private fun visitPrimitive(
        element: JsonElement,
        descriptor: SerialDescriptor,
        kind: SerialKind,
        path: String,
    ) {
        val primitive = element as? JsonPrimitive
        val expected =
            when (kind) {
                PrimitiveKind.STRING -> "a string".takeUnless { primitive?.isString == true }
                PrimitiveKind.BOOLEAN -> "true or false".takeUnless { primitive.isPlain && primitive?.booleanOrNull != null }
                PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "a number".takeUnless { primitive.isPlain && primitive?.doubleOrNull != null }
                SerialKind.ENUM -> enumValues(descriptor).let { values -> "one of $values".takeUnless { primitive?.content in values } }
                PrimitiveKind.INT -> "a whole number".takeUnless { primitive.isPlain && primitive?.longOrNull in INT_RANGE }
                else -> "a whole number".takeUnless { primitive.isPlain && primitive?.longOrNull != null }
            }
        if (expected != null) addWrongType(path, expected)
    }

    private val JsonPrimitive?.isPlain: Boolean get() = this != null && !isString

    private operator fun LongRange.contains(value: Long?): Boolean = value != null && value in first..last

    private fun enumValues(descriptor: SerialDescriptor): List<String> = (0 until descriptor.elementsCount).map(descriptor::getElementName)

    private fun addWrongType(
        path: String,
        expected: String,
    ) {
        problems += Problem(ResultCode.WRONG_TYPE, path, "expected $expected")
    }

    private companion object {
        val INT_RANGE = Int.MIN_VALUE.toLong()..Int.MAX_VALUE.toLong()
    }
}
