#include "TestCertificates.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace catkinwing {

TemporaryFolder::TemporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "catkinwing-test-XXXXXX").string();
    REQUIRE(mkdtemp(path.data()));
    m_path = path;
}

TemporaryFolder::~TemporaryFolder()
{
    std::filesystem::remove_all(m_path);
}

static EVP_PKEY* makeKey()
{
    return EVP_EC_gen("P-256");
}

static void addExtension(X509* certificate, X509* issuer, int kind, const std::string& value)
{
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    REQUIRE(extension);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

static X509* makeCertificate(EVP_PKEY* key, const CertificateContent& content, long serial)
{
    X509* certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), content.validFrom.count());
    X509_gmtime_adj(X509_getm_notAfter(certificate), content.validUntil.count());
    X509_set_pubkey(certificate, key);
    auto* name = reinterpret_cast<const unsigned char*>(content.commonName.c_str());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_UTF8, name, -1, -1, 0);
    return certificate;
}

static void writeCertificate(const std::string& file, X509* certificate)
{
    std::FILE* stream = std::fopen(file.c_str(), "w");
    REQUIRE(stream);
    PEM_write_X509(stream, certificate);
    std::fclose(stream);
}

static void writeKey(const std::string& file, EVP_PKEY* key)
{
    std::FILE* stream = std::fopen(file.c_str(), "w");
    REQUIRE(stream);
    PEM_write_PrivateKey(stream, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(stream);
}

TestAuthority::TestAuthority(std::string folder, std::string name)
    : m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_file(m_folder + "/" + m_name + ".pem")
    , m_key(makeKey(), EVP_PKEY_free)
    , m_certificate(makeCertificate(m_key.get(), { m_name, {} }, 1), X509_free)
{
    X509* certificate = m_certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
    addExtension(certificate, certificate, NID_basic_constraints, "critical,CA:TRUE");
    X509_sign(certificate, m_key.get(), EVP_sha256());
    writeCertificate(m_file, certificate);
}

TlsFiles TestAuthority::issue(const CertificateContent& content)
{
    ++m_lastSerial;
    Key key(makeKey(), EVP_PKEY_free);
    Certificate certificate(makeCertificate(key.get(), content, m_lastSerial), X509_free);
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(m_certificate.get()));
    if (!content.alternativeNames.empty())
        addExtension(certificate.get(), m_certificate.get(), NID_subject_alt_name, content.alternativeNames);
    X509_sign(certificate.get(), m_key.get(), EVP_sha256());
    std::string base = m_folder + "/" + m_name + "-" + std::to_string(m_lastSerial);
    TlsFiles files;
    files.certificateFile = base + "-certificate.pem";
    files.keyFile = base + "-key.pem";
    files.authorityFile = m_file;
    writeCertificate(files.certificateFile, certificate.get());
    writeKey(files.keyFile, key.get());
    return files;
}

TlsFiles TestAuthority::issueServer(const std::string& commonName)
{
    return issue({ commonName, "IP:127.0.0.1" });
}

TlsFiles TestAuthority::issueCaller(const std::string& commonName)
{
    return issue({ commonName, {} });
}

} // namespace catkinwing
