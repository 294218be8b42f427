// Serialization of schema tables, and deserialization of untrusted bytes.
//
// Example:
//     const std::string bytes = wire::pack(request);              // wire::SubmitRequestT -> bytes
//     const auto again = wire::unpack<wire::SubmitRequestT>(bytes);
//
// Guarantee: unpack() verifies the complete buffer before it reads any field, so corrupt or malicious bytes cause a MalformedBodyError.
// Thread safety: free functions without state.

#ifndef PADDLEPIER_WIRE_CODEC_H
#define PADDLEPIER_WIRE_CODEC_H

#include "paddlepier/base/error.h"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::wire
{

/** A native object type generated from a schema table, such as SubmitRequestT. */
template<typename T>
concept NativeTable = requires
{
    typename T::TableType;
};

template<NativeTable T>
std::string pack(const T &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(T::TableType::Pack(builder, &object));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

/** @throws MalformedBodyError if @p bytes are not a valid table of this type */
template<NativeTable T>
T unpack(const std::uint8_t *bytes, std::size_t size)
{
    flatbuffers::Verifier verifier(bytes, size);
    if (!verifier.VerifyBuffer<typename T::TableType>(nullptr)) {
        throw MalformedBodyError(std::string("not a valid ") + T::TableType::GetFullyQualifiedName());
    }
    T object;
    flatbuffers::GetRoot<typename T::TableType>(bytes)->UnPackTo(&object);
    return object;
}

template<NativeTable T>
T unpack(std::string_view bytes)
{
    return unpack<T>(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

template<NativeTable T>
T unpack(const std::vector<std::uint8_t> &bytes)
{
    return unpack<T>(bytes.data(), bytes.size());
}

inline std::vector<std::uint8_t> toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

inline std::string toString(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace paddlepier::wire

#endif
