#include "ClientMessage.h"

#include "HeaderSyntax.h"
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace catkinwing {

bool isValidRequest(const HttpClientRequest& request)
{
    if (!isFieldName(request.method) || !isRequestTarget(request.target))
        return false;
    for (const auto& field : request.headers.fields()) {
        if (!isFieldName(field.name) || !isFieldValue(field.value))
            return false;
    }
    return true;
}

// How the message is framed, and that the connection may be kept, is decided here.
static bool isOwnField(absl::string_view name)
{
    for (absl::string_view own : { "connection", "content-length", "expect", "keep-alive", "transfer-encoding", "upgrade" }) {
        if (absl::EqualsIgnoreCase(name, own))
            return true;
    }
    return false;
}

static bool announcesLength(const HttpClientRequest& request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

std::string makeRequestHead(const HttpClientRequest& request)
{
    std::string head = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    if (!request.headers.find("host"))
        absl::StrAppend(&head, "host: ", request.server.toString(), "\r\n");
    for (const auto& field : request.headers.fields()) {
        if (!isOwnField(field.name))
            absl::StrAppend(&head, field.name, ": ", field.value, "\r\n");
    }
    if (announcesLength(request))
        absl::StrAppend(&head, "content-length: ", request.body.size(), "\r\n");
    absl::StrAppend(&head, "\r\n");
    return head;
}

namespace {

    /// The fields of a response that say how long its body is.
    struct FramingFields {
        int transferEncodings { 0 };
        int lengths { 0 };
        bool lengthsDiffer { false };
        bool hasNamelessField { false };
    };

} // namespace

static absl::string_view toView(h2o_iovec_t bytes)
{
    return { bytes.base, bytes.len };
}

static FramingFields framingFieldsOf(const HttpHeaders& headers)
{
    FramingFields found;
    const std::string* length = nullptr;
    for (const auto& field : headers.fields()) {
        if (field.name.empty())
            found.hasNamelessField = true;
        if (field.name == "transfer-encoding")
            ++found.transferEncodings;
        if (field.name != "content-length")
            continue;
        ++found.lengths;
        found.lengthsDiffer = found.lengthsDiffer || (length && *length != field.value);
        length = &field.value;
    }
    return found;
}

// h2o takes these in without complaint, and would then misread the body.
const char* framingFault(const HttpResponseHead& head)
{
    FramingFields fields = framingFieldsOf(head.headers);
    if (head.status == 101)
        return "the server switched protocols unasked";
    if (fields.hasNamelessField)
        return "folded header field";
    if (fields.lengthsDiffer)
        return "two different content lengths";
    if (fields.transferEncodings > 1 || (fields.transferEncodings > 0 && fields.lengths > 0))
        return "ambiguous body length";
    return nullptr;
}

HttpResponseHead makeResponseHead(int status, const h2o_header_t* fields, std::size_t fieldCount)
{
    HttpResponseHead head;
    head.status = status;
    for (std::size_t i = 0; i < fieldCount; ++i)
        head.headers.add(std::string(toView(*fields[i].name)), std::string(toView(fields[i].value)));
    return head;
}

BodyFraming framingOf(const HttpResponseHead& head)
{
    const std::string* coding = head.headers.find("transfer-encoding");
    if (coding && *coding == "chunked")
        return BodyFraming::Chunked;
    return head.headers.find("content-length") ? BodyFraming::ContentLength : BodyFraming::UntilClose;
}

} // namespace catkinwing
