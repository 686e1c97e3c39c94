/// The project's exception types and their messages. Each message names the remedy.
#pragma once

#include <stdexcept>
#include <string>

namespace mustardpond {

/// Category of an error, for code that handles categories differently.
enum class ErrorKind {
    InvalidField,
    InvalidDocument,
    UnknownService,
    BadFrame,
    Unreachable,
    Conflict,
    NotFound,
    StoreOutage
};

namespace ErrorMsg {
constexpr const char INVALID_FIELD[] = "field '{}' is {}: {}";
constexpr const char INVALID_DOCUMENT[] = "{} is not a valid JSON document ({}): correct it and try again";
constexpr const char DOCUMENT_TOO_DEEP[] = "{} is nested deeper than {} levels: write it with fewer";
constexpr const char FILE_UNREADABLE[] = "cannot read '{}': check that the path exists and is readable";
constexpr const char FILE_UNWRITABLE[] = "cannot write '{}': check that its directory exists and is writable";
constexpr const char UNKNOWN_SERVICE[] = "no service named '{}' is registered: register it before the kernel starts";
constexpr const char DUPLICATE_SERVICE[] = "a service named '{}' is already registered: choose another name";
constexpr const char FRAME_TOO_LARGE[] =
    "a frame of {} bytes exceeds the limit of {}: check that the peer speaks this protocol";
constexpr const char FRAME_MAGIC[] =
    "a frame has the invalid magic number {:#x}: check that the peer is a mustardpond process";
constexpr const char FRAME_VERSION[] = "a frame has version {}, this process supports {}: upgrade the older of the two";
constexpr const char FRAME_MALFORMED[] =
    "a frame of {} bytes fails verification: check the link and the peer's version";
constexpr const char FRAME_FIELD[] = "a frame's field {} is out of range: check the peer's version";
constexpr const char FRAME_UNEXPECTED[] = "a frame of type {} is not expected here: check the peer's version";
constexpr const char STORE_OUTAGE[] =
    "the platform at {} does not answer ({}): it is retried; the last accepted configuration stays in force";
constexpr const char OBJECT_CONFLICT[] =
    "{}/{} was changed by someone else (version {} is current): read it again and repeat the change";
constexpr const char OBJECT_NOT_FOUND[] = "{}/{} does not exist: list the objects of the kind with 'mustardctl get {}'";
} // namespace ErrorMsg

/// Base class of the project's exceptions.
class Exception : public std::runtime_error
{
public:
    Exception(ErrorKind kind, const std::string &message)
        : std::runtime_error(message)
        , m_kind(kind)
    {
    }
    ErrorKind kind() const
    {
        return m_kind;
    }

private:
    ErrorKind m_kind;
};

/// A field of a setting or an object is missing, invalid or unknown.
class InvalidField : public Exception
{
public:
    /// @param field path of the field, such as "limits.bodyBytes"
    /// @param value the field's value, as JSON text
    /// @param remedy what to write instead
    InvalidField(const std::string &field, const std::string &value, const std::string &remedy);
    const std::string &field() const
    {
        return m_field;
    }

private:
    std::string m_field;
};

/// A text is not valid JSON, or a file cannot be read.
class InvalidDocument : public Exception
{
public:
    explicit InvalidDocument(const std::string &message)
        : Exception(ErrorKind::InvalidDocument, message)
    {
    }
};

/// A peer sent an invalid frame. The connection is no longer usable.
class BadFrame : public Exception
{
public:
    explicit BadFrame(const std::string &message)
        : Exception(ErrorKind::BadFrame, message)
    {
    }
};

/// A request to the platform's object API failed or timed out. A write may have taken effect.
class StoreOutage : public Exception
{
public:
    StoreOutage(const std::string &endpoint, const std::string &cause);
};

/// A conditional update failed because the object has a newer version.
class Conflict : public Exception
{
public:
    Conflict(const std::string &message, std::string currentValue)
        : Exception(ErrorKind::Conflict, message)
        , m_currentValue(std::move(currentValue))
    {
    }
    /// Returns the stored value, as JSON text.
    const std::string &currentValue() const
    {
        return m_currentValue;
    }

private:
    std::string m_currentValue;
};

} // namespace mustardpond
