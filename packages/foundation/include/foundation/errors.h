/// The exception types of the project and their messages. Each message names the remedy.
#pragma once

#include <stdexcept>
#include <string>

namespace mustardpond {

/// What went wrong, for code that must tell errors apart.
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
constexpr const char FILE_UNREADABLE[] = "cannot read '{}': check that the path exists and is readable";
constexpr const char FILE_NOT_WRITTEN[] = "cannot write '{}': check that its directory exists and is writable";
constexpr const char UNKNOWN_SERVICE[] = "no service named '{}' is registered: register it before the kernel starts";
constexpr const char SERVICE_TAKEN[] = "a service named '{}' is registered already: choose another name";
constexpr const char FRAME_TOO_LARGE[] =
    "a frame announces {} bytes, over the limit of {}: check that the peer speaks this protocol";
constexpr const char FRAME_MAGIC[] = "a frame starts with {:#x}: check that the peer is a mustardpond process";
constexpr const char FRAME_VERSION[] = "a frame has version {}, this process speaks {}: upgrade the older of the two";
constexpr const char FRAME_MALFORMED[] = "a frame of {} bytes does not verify: check the link and the peer's version";
constexpr const char FRAME_FIELD[] = "a frame's field {} is outside its range: check the peer's version";
constexpr const char FRAME_UNEXPECTED[] = "a frame of type {} arrived out of turn: check the peer's version";
constexpr const char STORE_OUTAGE[] =
    "the platform at {} does not answer ({}): it is retried; the last accepted configuration stays in force";
constexpr const char OBJECT_CONFLICT[] =
    "{}/{} was changed by someone else (version {} is current): read it again and repeat the change";
constexpr const char OBJECT_MISSING[] = "{}/{} does not exist: list the objects of the kind with 'mustardctl get {}'";
} // namespace ErrorMsg

/// The base of all errors that this project throws.
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

/// A setting or object has a field that cannot be accepted.
class InvalidField : public Exception
{
public:
    /// @param field path of the field, such as "limits.bodyBytes"
    /// @param found the value found, as JSON text
    /// @param remedy what to write instead
    InvalidField(const std::string &field, const std::string &found, const std::string &remedy);
    const std::string &field() const
    {
        return m_field;
    }

private:
    std::string m_field;
};

/// Text is not a JSON document, or a file cannot be read.
class InvalidDocument : public Exception
{
public:
    explicit InvalidDocument(const std::string &message)
        : Exception(ErrorKind::InvalidDocument, message)
    {
    }
};

/// A peer sent bytes that are not a valid frame. The connection cannot be used any more.
class BadFrame : public Exception
{
public:
    explicit BadFrame(const std::string &message)
        : Exception(ErrorKind::BadFrame, message)
    {
    }
};

/// The platform's object API failed or did not answer; a write may have taken effect.
class StoreOutage : public Exception
{
public:
    StoreOutage(const std::string &endpoint, const std::string &cause);
};

/// A conditional update met a newer version.
class Conflict : public Exception
{
public:
    Conflict(const std::string &message, std::string currentValue)
        : Exception(ErrorKind::Conflict, message)
        , m_currentValue(std::move(currentValue))
    {
    }
    /// The value in the store, as JSON text.
    const std::string &currentValue() const
    {
        return m_currentValue;
    }

private:
    std::string m_currentValue;
};

} // namespace mustardpond
