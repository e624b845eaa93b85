#include "catkinwing/Http/TlsContext.h"

#include "H2o.h"
#include "TlsPeer.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <openssl/err.h>
#include <openssl/x509v3.h>

namespace catkinwing {

static thread_local TlsPeer* openingPeer = nullptr;

TlsPeerScope::TlsPeerScope(TlsPeer& peer)
{
    openingPeer = &peer;
}

TlsPeerScope::~TlsPeerScope()
{
    openingPeer = nullptr;
}

// h2o doesn't show the session of a connection, so each new session is given
// the peer whose bytes are being read.
static int peerIndex()
{
    auto attachPeer = [](void*, void*, CRYPTO_EX_DATA* data, int index, long, void*) {
        CRYPTO_set_ex_data(data, index, openingPeer);
    };
    static const int index = SSL_get_ex_new_index(0, nullptr, attachPeer, nullptr, nullptr);
    return index;
}

static SSL* sessionOf(X509_STORE_CTX* verification)
{
    return static_cast<SSL*>(X509_STORE_CTX_get_ex_data(verification, SSL_get_ex_data_X509_STORE_CTX_idx()));
}

static std::string commonNameOf(const X509* certificate)
{
    X509_NAME* subject = X509_get_subject_name(certificate);
    int position = X509_NAME_get_index_by_NID(subject, NID_commonName, -1);
    if (position < 0)
        return {};
    ASN1_STRING* value = X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, position));
    unsigned char* text = nullptr;
    int length = ASN1_STRING_to_UTF8(&text, value);
    if (length < 0)
        return {};
    std::string name(reinterpret_cast<char*>(text), static_cast<std::size_t>(length));
    OPENSSL_free(text);
    return name;
}

// A name with a control character could pass for another one where it is cut.
static bool isPlainName(const std::string& name)
{
    return std::none_of(name.begin(), name.end(), [](unsigned char c) { return c < ' ' || c == 127; });
}

static int verifyCaller(X509_STORE_CTX* verification, void*)
{
    auto* peer = static_cast<TlsPeer*>(SSL_get_ex_data(sessionOf(verification), peerIndex()));
    if (!peer || X509_verify_cert(verification) != 1)
        return 0;
    std::string name = commonNameOf(X509_STORE_CTX_get0_cert(verification));
    if (!isPlainName(name))
        return 0;
    peer->certificateName = std::move(name);
    return 1;
}

// h2o matches certificates against host names only, and only lets an address
// pass if the context doesn't demand verification. So the context doesn't, and
// each session does: the chain and, unless switched off, the address dialled,
// which h2o leaves as the server name.
static int verifyServer(X509_STORE_CTX* verification, void* checkAddress)
{
    SSL* session = sessionOf(verification);
    SSL_set_verify(session, SSL_VERIFY_PEER, nullptr);
    if (checkAddress) {
        const char* address = SSL_get_servername(session, TLSEXT_NAMETYPE_host_name);
        X509_VERIFY_PARAM* parameters = X509_STORE_CTX_get0_param(verification);
        bool isSet = address && X509_VERIFY_PARAM_set1_ip_asc(parameters, address) == 1;
        if (!isSet) {
            X509_STORE_CTX_set_error(verification, X509_V_ERR_IP_ADDRESS_MISMATCH);
            return 0;
        }
    }
    return X509_verify_cert(verification) == 1;
}

static absl::Status tlsFault(absl::string_view what, const std::string& file)
{
    unsigned long code = ERR_get_error();
    ERR_clear_error();
    const char* reason = code ? ERR_reason_error_string(code) : nullptr;
    return absl::InvalidArgumentError(absl::StrCat(what, " '", file, "': ", reason ? reason : "unusable"));
}

static absl::Status loadIdentity(SSL_CTX* context, const TlsFiles& files)
{
    if (SSL_CTX_use_certificate_chain_file(context, files.certificateFile.c_str()) != 1)
        return tlsFault("certificate file", files.certificateFile);
    if (SSL_CTX_use_PrivateKey_file(context, files.keyFile.c_str(), SSL_FILETYPE_PEM) != 1)
        return tlsFault("key file", files.keyFile);
    if (SSL_CTX_check_private_key(context) != 1)
        return tlsFault("key file", files.keyFile);
    return absl::OkStatus();
}

static absl::Status loadAuthority(SSL_CTX* context, const std::string& file)
{
    if (SSL_CTX_load_verify_file(context, file.c_str()) != 1)
        return tlsFault("authority file", file);
    return absl::OkStatus();
}

static void setProtocols(SSL_CTX* context)
{
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_options(context, SSL_OP_NO_COMPRESSION | SSL_OP_NO_RENEGOTIATION);
    SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS);
}

// A resumed session isn't verified again and would bring no name.
static void disableResumption(SSL_CTX* context)
{
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
    SSL_CTX_set_num_tickets(context, 0);
}

static absl::Status demandCertificate(SSL_CTX* context, const std::string& authorityFile)
{
    absl::Status status = loadAuthority(context, authorityFile);
    if (!status.ok())
        return status;
    SSL_CTX_set_client_CA_list(context, SSL_load_client_CA_file(authorityFile.c_str()));
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    SSL_CTX_set_cert_verify_callback(context, verifyCaller, nullptr);
    disableResumption(context);
    return absl::OkStatus();
}

absl::StatusOr<std::shared_ptr<TlsContext>> TlsContext::forServer(const TlsFiles& files)
{
    peerIndex();
    std::shared_ptr<TlsContext> result(new TlsContext(SSL_CTX_new(TLS_server_method())));
    setProtocols(result->m_context);
    absl::Status status = loadIdentity(result->m_context, files);
    if (status.ok() && !files.authorityFile.empty())
        status = demandCertificate(result->m_context, files.authorityFile);
    if (!status.ok())
        return status;
    h2o_ssl_register_alpn_protocols(result->m_context, h2o_http2_alpn_protocols);
    return result;
}

absl::StatusOr<std::shared_ptr<TlsContext>> TlsContext::forClient(const TlsFiles& files)
{
    std::shared_ptr<TlsContext> result(new TlsContext(SSL_CTX_new(TLS_client_method())));
    setProtocols(result->m_context);
    absl::Status status = loadAuthority(result->m_context, files.authorityFile);
    if (status.ok() && !files.certificateFile.empty())
        status = loadIdentity(result->m_context, files);
    if (!status.ok())
        return status;
    static char checkAddress;
    SSL_CTX_set_cert_verify_callback(result->m_context, verifyServer, files.checkServerAddress ? &checkAddress : nullptr);
    return result;
}

std::string TlsContext::commonName() const
{
    X509* certificate = SSL_CTX_get0_certificate(m_context);
    return certificate ? commonNameOf(certificate) : std::string();
}

TlsContext::~TlsContext()
{
    SSL_CTX_free(m_context);
}

} // namespace catkinwing
