// Certificates made while a test runs.
#pragma once

#include "catkinwing/Http/TlsContext.h"
#include <chrono>
#include <memory>
#include <openssl/evp.h>
#include <openssl/x509.h>
#include <string>

namespace catkinwing {

/// A folder for the files of one test; goes with it.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/// What a certificate says.
struct CertificateContent {
    std::string commonName;
    /// IP addresses among its subject alternative names, such as "IP:127.0.0.1"; may be empty.
    std::string alternativeNames;
    std::chrono::seconds validFrom { -3600 };
    std::chrono::seconds validUntil { 3600 };
};

/// An authority that signs certificates and writes them to files.
class TestAuthority {
public:
    TestAuthority(std::string folder, std::string name);

    const std::string& file() const { return m_file; }
    /// Makes a key and certificate; the files name this authority for the other side.
    TlsFiles issue(const CertificateContent& content);
    /// Makes the usual identity of a server on loopback.
    TlsFiles issueServer(const std::string& commonName = "server");
    /// Makes the usual identity of a caller.
    TlsFiles issueCaller(const std::string& commonName = "caller");

private:
    using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

    std::string m_folder;
    std::string m_name;
    std::string m_file;
    Key m_key;
    Certificate m_certificate;
    long m_lastSerial { 1 };
};

} // namespace catkinwing
